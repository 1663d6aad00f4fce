#pragma once

#include "step.h"

#include <actions/action_outcome.h>
#include <actions/bucket_writer_event.h>
#include <actions/claim_bucket.h>
#include <actions/ticket.h>

#include <core/instant.h>
#include <core/revision.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ej::actions::model {

class fleet_model;
using outcome_callback = std::function<void(const action_outcome&)>;

/// A request sent by a caller.
struct request {
    int key = 0;
    int variant = 0; ///< Selects the body.
    std::optional<ticket> key_ticket;
};

/// A daemon under test.
class daemon {
public:
    virtual ~daemon() = default;
    virtual void submit(const request& wanted, std::optional<claim_nonce> forwarded,
                        const outcome_callback& on_outcome) = 0;
    virtual std::optional<ticket> issue() { return std::nullopt; }
    virtual void tick() {}
};

/// A VM with one daemon incarnation.
struct host {
    std::unique_ptr<daemon> running;
    int incarnation = 0;
    bool paused = false;
    bool clock_stops = false;
    bool draining = false;
    bool cut_from_store = false;
    bool cut_from_peers = false;
    core::duration lost_time{}; ///< How far its clocks lag behind.
    core::instant paused_at;
    std::vector<std::function<void()>> inbox;
};

/// What one caller sent and received.
struct submitted {
    request wanted;
    int at_host = 0;
    int incarnation = 0;
    std::optional<action_outcome> received;
};

/// Model of several daemons, a store with compare-and-swap and an application without duplicate
/// detection. The test controls the delivery of every message.
class fleet_model {
public:
    using factory = std::function<std::unique_ptr<daemon>(fleet_model&, int)>;

    explicit fleet_model(factory make);

    /// Runs `steps`, then removes all faults and delivers all messages.
    void run(const history& steps);

    /// Describes a key that ran twice, a missing answer or a wrong outcome; empty if there is none.
    [[nodiscard]] std::string violated_guarantee() const;

    // Used by the daemons.
    void call(int from, const std::function<std::function<void()>()>& serve,
              const std::function<void()>& lost);
    void call_store(int from, const std::function<std::function<void()>()>& serve,
                    const std::function<void()>& lost);
    void forward(int from, const owner& to, const request& wanted, claim_nonce nonce,
                 const outcome_callback& on_outcome);
    void timer(int from, const std::function<void()>& action);
    [[nodiscard]] std::optional<action_result> execute(const request& wanted);
    [[nodiscard]] bucket_writer_event read(std::uint64_t bucket) const;
    [[nodiscard]] bucket_writer_event write(std::uint64_t bucket, const claim_bucket& value,
                                            core::revision expected);
    [[nodiscard]] core::instant now(int at) const;
    [[nodiscard]] wall_time wall(int at) const;
    [[nodiscard]] bool draining(int at) const { return hosts_.at(at).draining; }
    [[nodiscard]] owner owner_at(int at) const;

    std::set<int> shared_set; ///< Keys that ran; for naive daemons.
    std::vector<submitted> callers;
    std::map<int, std::vector<int>> executions; ///< Variants that ran, by key.
    std::size_t store_calls = 0;

private:
    struct message {
        std::function<void()> deliver;
        std::function<void()> drop;
    };
    using handler = void (fleet_model::*)(const step&);
    static const std::array<handler, operation_count> handlers;

    void deliver(const step& now);
    void drop(const step& now);
    void linger(const step& now);
    void submit(const step& now);
    void issue(const step& now);
    void advance(const step& now);
    void crash(const step& now);
    void pause(const step& now);
    void wake(const step& now);
    void outage(const step& now);
    void cut(const step& now);
    void refuse(const step& now);
    void drain(const step& now);

    void start(int at);
    void at_host(int at, int incarnation, const std::function<void()>& action);
    void advance_time(core::duration time);
    void heal_and_deliver_all();
    void send(int at, int key, int variant);
    [[nodiscard]] int host_of(std::size_t number) const;
    [[nodiscard]] message take(std::size_t number);

    factory make_;
    std::vector<host> hosts_;
    std::vector<message> messages_;
    std::vector<std::optional<ticket>> keys_;
    std::map<int, core::instant> first_sent_;
    core::instant now_;
    bool outage_ = false;
    int refusals_ = 0;
    std::uint64_t store_revision_ = 0;
    std::map<std::uint64_t, std::pair<claim_bucket, std::uint64_t>> store_;
};

} // namespace ej::actions::model
