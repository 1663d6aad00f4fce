#pragma once

#include "store_model.h"

#include <config/change_submission.h>
#include <config/config_follower.h>
#include <config/snapshot_write.h>

#include <deque>
#include <set>
#include <string>
#include <vector>

namespace ej::config {

/// Daemons of two failure domains, operators and a store, whose messages a test delivers, loses
/// or delays one by one. Throws std::logic_error when a daemon breaks an invariant.
class fleet_model {
public:
    enum class answer { given, lost, late };

    explicit fleet_model(std::size_t daemons);

    void submit(std::size_t daemon, std::uint64_t object);
    void step_submission(std::size_t index, answer how);
    void apply_late_write(std::size_t index);
    void deliver(std::size_t index);
    void drop(std::size_t index);
    void advance(core::duration by);
    void restart(std::size_t daemon);
    void toggle_disconnected(std::size_t daemon) { flip(disconnected_, daemon % daemons_.size()); }
    void toggle_outage() { outage_ = !outage_; }
    void drop_watches() { watches_.clear(); }
    void drop_all_messages() { messages_.clear(); }

    /// Ends all faults and finishes every submission and late write.
    void heal();
    /// Delivers everything while `time` passes.
    void run(core::duration time);
    /// Delivers everything and lets time pass; the time until all daemons agree with the store.
    core::duration settle(core::duration limit);
    /// The platform comes back with what it held before the last `changes`.
    void rewind(std::size_t changes);
    /// An operator has `daemon` write its newer state back.
    bool restore(std::size_t daemon);

    [[nodiscard]] bool agrees() const;
    [[nodiscard]] bool reports_platform_behind() const;
    [[nodiscard]] std::size_t accepted() const { return accepted_.size(); }
    /// Writes whose submission had no answer.
    [[nodiscard]] std::size_t lost_answers() const { return lost_answers_; }
    [[nodiscard]] const config_follower& follower(std::size_t i) const { return daemons_.at(i); }
    [[nodiscard]] core::instant now() const { return now_; }
    /// Throws unless what operators were told is what the store did.
    void check_answers() const;

private:
    struct message {
        std::size_t to = 0;
        follower_event event;
    };
    struct watch {
        std::size_t daemon = 0;
        watch_tail asked;
        core::instant until;
    };
    struct submission {
        std::size_t daemon = 0;
        change wanted;
        change_submission decision;
        submission_effect next;
    };

    void round();
    static void flip(std::set<std::size_t>& set, std::size_t value);
    [[nodiscard]] bool reaches_store(std::size_t daemon) const;
    [[nodiscard]] config_follower start(std::size_t daemon) const;
    void deliver_event(std::size_t daemon, const follower_event& event);
    void carry_out(std::size_t daemon, const follower_effect& effect);
    void answer_watches();
    submission_event call_store(const submission& one, answer how);
    void finish(const submission& one, const submission_result& result);
    void compact(const submission_result& result);
    bool run_compaction(snapshot_write decision);

    store_model store_;
    std::vector<member> members_;
    std::vector<config_follower> daemons_;
    std::vector<core::revision> applied_;
    std::deque<message> messages_;
    std::vector<watch> watches_;
    std::vector<submission> submissions_;
    std::vector<write_tail> late_writes_;
    std::set<std::size_t> disconnected_;
    std::set<change_id> accepted_;
    std::set<change_id> refused_;
    bool outage_ = false;
    std::size_t submitted_ = 0;
    std::size_t lost_answers_ = 0;
    std::uint64_t started_ = 0;
    core::instant now_;
};

} // namespace ej::config
