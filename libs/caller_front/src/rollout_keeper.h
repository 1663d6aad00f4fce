#pragma once

#include "front_context.h"
#include "net.h"
#include "peer_message.h"

#include <caller_front/store_layout.h>

#include <platform/store.h>
#include <rollout/evidence_table.h>
#include <rollout/rollout_judge.h>
#include <rollout/rollout_record.h>
#include <rollout/rollout_state.h>
#include <rollout/rollout_view.h>

#include <core/address.h>
#include <core/instant.h>
#include <core/service_id.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace ej::front {

/// Takes part in roll-outs: reports this daemon's answers to the deciders of each service, and
/// takes the steps where this daemon is one of them. A step is one conditional write to the store,
/// so that of several deciders one succeeds. Used on the control loop.
class rollout_keeper {
public:
    /// Sends a message to one daemon.
    using send_function = std::function<void(const peer_message&, const core::address&)>;

    /// All arguments outlive the keeper.
    rollout_keeper(front_context& context, platform::store& store, const store_layout& layout,
                   asio::io_context& loop, send_function send);

    /// Follows the roll-outs for as long as the loop runs.
    boost::asio::awaitable<void> run();

    /// Reports that an order or a record has changed.
    void wake();

    /// Applies a report of another daemon.
    void apply(const rollout::rollout_report& report);

    /// Applies another daemon's verdict.
    void apply(const rollout::rollout_verdict& verdict);

private:
    /// What this daemon knows as a decider for one service.
    struct watched {
        core::revision order;
        rollout::evidence_table evidence;
        rollout::rollout_judge judge;
        core::revision due_after; ///< Revision of the record that the due step follows.
        std::optional<core::instant> due_since;
        bool writing = false;
    };

    void review(const core::service_id& service, core::instant at);
    void report(const core::service_id& service, const rollout::rollout_state& state,
                core::instant at);
    void count_answers(const rollout::rollout_report& made) const;
    void set_trial_share(const core::service_id& service, const rollout::rollout_state& state,
                         core::instant at);
    [[nodiscard]] double requests_per_second(const core::service_id& service,
                                             const rollout::rollout_state& state,
                                             core::instant at) const;
    void decide(const core::service_id& service, const rollout::rollout_state& state,
                std::size_t rank, core::instant at);
    void reject(const rollout::rollout_verdict& verdict, const std::string& reason);
    void broadcast(const rollout::rollout_verdict& verdict);
    [[nodiscard]] watched& watch(const core::service_id& service,
                                 const rollout::rollout_state& state);
    [[nodiscard]] rollout::rollout_view view_of(const core::service_id& service,
                                                const rollout::rollout_state& state,
                                                const watched& by, core::instant at) const;
    [[nodiscard]] std::uint32_t runs_elsewhere(const rollout::rollout_order& order) const;
    [[nodiscard]] rollout::version_room room_of(const rollout::rollout_order& order) const;
    [[nodiscard]] bool may_resume(const core::service_id& service) const;
    boost::asio::awaitable<void> write(core::service_id service, rollout::rollout_record record,
                                       core::revision known);

    front_context& context_;
    platform::store& store_;
    const store_layout& layout_;
    asio::io_context& loop_;
    send_function send_;
    asio::steady_timer timer_;
    std::uint64_t start_ = 0;
    std::uint64_t reviews_ = 0;
    std::uint64_t reports_ = 0; // Sent.
    std::map<core::service_id, watched> watched_;
};

} // namespace ej::front
