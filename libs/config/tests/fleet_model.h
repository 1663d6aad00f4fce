#pragma once

#include "store_model.h"

#include <config/change_submission.h>
#include <config/config_follower.h>
#include <config/log_compaction.h>

#include <deque>
#include <set>
#include <string>
#include <vector>

namespace ej::config {

/// Model of daemons in two failure domains, operators and a store. A test delivers, drops or delays
/// their messages one by one. Throws std::logic_error if a daemon violates an invariant.
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

    /// Ends all faults, applies every late write and finishes every submission.
    void heal();
    /// Advances the time by `time` and delivers all messages on the way.
    void run(core::duration time);
    /// Runs until all daemons agree with the store, at most for `limit`; returns the time needed.
    core::duration settle(core::duration limit);
    /// Restores the platform to its state before the last `changes`.
    void rewind(std::size_t changes);
    /// Writes the configuration of `daemon` to the store, as an operator's restore does.
    bool restore(std::size_t daemon);

    [[nodiscard]] bool agrees() const;
    [[nodiscard]] bool reports_platform_behind() const;
    [[nodiscard]] std::size_t accepted() const { return accepted_.size(); }
    /// Writes whose answer did not reach the submission.
    [[nodiscard]] std::size_t lost_answers() const { return lost_answers_; }
    [[nodiscard]] const config_follower& follower(std::size_t i) const { return daemons_.at(i); }
    [[nodiscard]] core::instant now() const { return now_; }
    /// Throws if an outcome reported to an operator contradicts the store's history.
    void check_answers() const;

private:
    struct message {
        std::size_t to = 0;
        follower_event event;
    };
    struct watch {
        std::size_t daemon = 0;
        watch_change_log asked;
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
    bool run_compaction(log_compaction decision);

    store_model store_;
    std::vector<member> members_;
    std::vector<config_follower> daemons_;
    std::vector<core::revision> applied_;
    std::deque<message> messages_;
    std::vector<watch> watches_;
    std::vector<submission> submissions_;
    std::vector<write_change_log> late_writes_;
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
