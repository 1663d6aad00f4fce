#include "fleet_model.h"

#include <config/apply.h>

#include <algorithm>
#include <stdexcept>

namespace ej::config {

namespace {

constexpr auto watch_wait = std::chrono::milliseconds(1500);
constexpr auto step = std::chrono::milliseconds(250);
constexpr change_log_limits limits{6, 3};

action make_action(std::uint64_t object, std::uint32_t value)
{
    const std::string name = "o" + std::to_string(object % 3);
    const put_class changed{{core::class_id(name),
                             core::service_id("s"),
                             core::work_kind::generation,
                             {.max_waiting = value + 1}}};
    const put_workspace shared{{core::workspace_id(name), value % 300'000}};
    const std::array<action, 6> actions{changed,
                                        shared,
                                        changed,
                                        shared,
                                        delete_class{core::class_id(name)},
                                        delete_workspace{core::workspace_id(name)}};
    return actions.at(object / 3 % actions.size());
}

} // namespace

fleet_model::fleet_model(std::size_t daemons) : applied_(daemons)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        members_.push_back({core::vm_id("vm" + std::to_string(i)),
                            core::failure_domain_id(i % 2 == 0 ? "recife" : "natal")});
    }
    for (std::size_t i = 0; i < daemons; ++i) {
        daemons_.push_back(start(i));
    }
    for (std::size_t i = 0; i < daemons; ++i) {
        deliver_event(i, members_changed{members_});
    }
}

config_follower fleet_model::start(std::size_t daemon) const
{
    follower_settings settings;
    settings.self = members_.at(daemon);
    settings.watchers = 1;
    settings.fanout = 2;
    settings.recent_changes = 4;
    return {settings, now_, daemon + started_ * 100};
}

void fleet_model::flip(std::set<std::size_t>& set, std::size_t value)
{
    if (set.erase(value) == 0) {
        set.insert(value);
    }
}

bool fleet_model::reaches_store(std::size_t daemon) const
{
    return !outage_ && !disconnected_.contains(daemon);
}

void fleet_model::deliver_event(std::size_t daemon, const follower_event& event)
{
    const auto effects = daemons_.at(daemon).handle(event, now_);
    std::ranges::for_each(effects, [&](const auto& effect) { carry_out(daemon, effect); });
}

void fleet_model::carry_out(std::size_t daemon, const follower_effect& effect)
{
    if (const auto* asked = std::get_if<watch_change_log>(&effect)) {
        watches_.push_back({daemon, *asked, now_ + watch_wait});
    }
    if (std::holds_alternative<read_snapshot>(effect) && reaches_store(daemon)) {
        messages_.push_back({daemon, store_.base()});
    }
    if (const auto* sent = std::get_if<send_to_peer>(&effect)) {
        const auto to = std::ranges::find(members_, sent->to, &member::vm) - members_.begin();
        messages_.push_back({static_cast<std::size_t>(to),
                             peer_message_received{members_.at(daemon).vm, sent->message}});
    }
    if (const auto* applied = std::get_if<apply_configuration>(&effect)) {
        const core::revision revision = applied->next.revision();
        if (revision <= applied_.at(daemon)) {
            throw std::logic_error(
                "a daemon applied a revision that is not higher than the one in force");
        }
        if (!(applied->next == fold(store_.committed(), revision.value()))) {
            throw std::logic_error("a daemon applied a configuration that the store never held");
        }
        applied_.at(daemon) = revision;
    }
}

void fleet_model::submit(std::size_t daemon, std::uint64_t object)
{
    daemon %= daemons_.size();
    const config_follower& follower = daemons_.at(daemon);
    if (!follower.status(now_).ready) {
        return;
    }
    const std::string id = "c" + std::to_string(++submitted_);
    const action what = make_action(object, static_cast<std::uint32_t>(object * 997));
    const change wanted{change_id(id), revision_of(follower.in_force(), what), what};
    change_submission decision(wanted, follower.in_force(), follower.status(now_).newest_known, {},
                               submitted_);
    submission_effect first = decision.start();
    submissions_.push_back({daemon, wanted, std::move(decision), std::move(first)});
}

void fleet_model::step_submission(std::size_t index, answer how)
{
    if (submissions_.empty()) {
        return;
    }
    submission& one = submissions_.at(index % submissions_.size());
    one.next = *one.decision.handle(call_store(one, how));
    if (std::holds_alternative<finish_submission>(one.next)) {
        const submission ended = one;
        submissions_.erase(submissions_.begin() +
                           static_cast<std::ptrdiff_t>(index % submissions_.size()));
        finish(ended, std::get<finish_submission>(ended.next).result);
    }
}

submission_event fleet_model::call_store(const submission& one, answer how)
{
    const bool down = !reaches_store(one.daemon);
    if (const auto* write = std::get_if<write_change_log>(&one.next)) {
        lost_answers_ += down || how != answer::given ? 1 : 0;
        if (how == answer::late || down) {
            late_writes_.push_back(*write);
            return write_answered{};
        }
        const write_answered result = store_.write(*write);
        return how == answer::lost ? write_answered{} : result;
    }
    if (down || how != answer::given) {
        return fetch_failed{};
    }
    if (std::holds_alternative<read_snapshot>(one.next)) {
        return store_.base();
    }
    return store_.log();
}

void fleet_model::finish(const submission& one, const submission_result& result)
{
    if (result.outcome == submission_outcome::accepted) {
        accepted_.insert(one.wanted.id);
        deliver_event(one.daemon, change_accepted{result.configuration_seen, result.stored});
        compact(result);
        return;
    }
    if (result.outcome != submission_outcome::unknown) {
        refused_.insert(one.wanted.id);
    }
}

void fleet_model::compact(const submission_result& result)
{
    if (const auto shorter = compacted(result.stored, limits)) {
        run_compaction({result.configuration_seen, *shorter});
    }
}

bool fleet_model::run_compaction(log_compaction decision)
{
    log_compaction_effect next = decision.start();
    for (;;) {
        if (const auto* done = std::get_if<finish_log_compaction>(&next)) {
            return done->complete;
        }
        if (const auto* base = std::get_if<write_snapshot>(&next)) {
            next = decision.on(store_.write(*base));
        }
        else if (const auto* log = std::get_if<write_change_log>(&next)) {
            next = decision.on(store_.write(*log));
        }
        else {
            next = decision.on(store_.base());
        }
    }
}

void fleet_model::apply_late_write(std::size_t index)
{
    if (!late_writes_.empty()) {
        const auto at =
            late_writes_.begin() + static_cast<std::ptrdiff_t>(index % late_writes_.size());
        const write_change_log write = std::move(*at);
        late_writes_.erase(at);
        (void)store_.write(write);
    }
}

void fleet_model::deliver(std::size_t index)
{
    if (!messages_.empty()) {
        const auto at = messages_.begin() + static_cast<std::ptrdiff_t>(index % messages_.size());
        const message one = std::move(*at);
        messages_.erase(at);
        deliver_event(one.to, one.event);
    }
}

void fleet_model::drop(std::size_t index)
{
    if (!messages_.empty()) {
        messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index % messages_.size()));
    }
}

void fleet_model::advance(core::duration by)
{
    now_ += by;
    answer_watches();
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (now_ >= daemons_.at(i).next_wake()) {
            deliver_event(i, tick{});
        }
    }
}

void fleet_model::answer_watches()
{
    const auto open = std::exchange(watches_, {});
    for (const watch& one : open) {
        if (!reaches_store(one.daemon)) {
            messages_.push_back({one.daemon, watch_failed{one.asked.watch_number}});
        }
        else if (one.asked.after.value() == 0 || store_.log().key_revision > one.asked.after) {
            messages_.push_back({one.daemon, watch_answered{one.asked.watch_number, store_.log()}});
        }
        else if (now_ >= one.until) {
            messages_.push_back({one.daemon, watch_answered{one.asked.watch_number, std::nullopt}});
        }
        else {
            watches_.push_back(one);
        }
    }
}

void fleet_model::restart(std::size_t daemon)
{
    daemon %= daemons_.size();
    ++started_;
    std::erase_if(messages_, [&](const message& one) { return one.to == daemon; });
    std::erase_if(watches_, [&](const watch& one) { return one.daemon == daemon; });
    std::erase_if(submissions_, [&](const submission& one) { return one.daemon == daemon; });
    daemons_.at(daemon) = start(daemon);
    applied_.at(daemon) = {};
    deliver_event(daemon, members_changed{members_});
}

void fleet_model::heal()
{
    outage_ = false;
    disconnected_.clear();
    while (!late_writes_.empty()) {
        apply_late_write(0);
    }
    while (!submissions_.empty()) {
        step_submission(0, answer::given);
    }
}

core::duration fleet_model::settle(core::duration limit)
{
    const core::instant start_time = now_;
    while (!agrees() && now_ - start_time < limit) {
        round();
    }
    return now_ - start_time;
}

void fleet_model::run(core::duration time)
{
    for (const core::instant end = now_ + time; now_ < end;) {
        round();
    }
}

void fleet_model::round()
{
    advance(step);
    for (std::size_t left = messages_.size(); left > 0; --left) {
        deliver(0);
    }
}

bool fleet_model::agrees() const
{
    const configuration expected = fold(store_.committed(), store_.committed().size());
    return std::ranges::all_of(
        daemons_, [&](const config_follower& one) { return one.in_force() == expected; });
}

bool fleet_model::reports_platform_behind() const
{
    return std::ranges::any_of(
        daemons_, [&](const config_follower& one) { return one.status(now_).platform_behind; });
}

void fleet_model::rewind(std::size_t changes)
{
    store_.rewind(changes);
}

bool fleet_model::restore(std::size_t daemon)
{
    const configuration& own = daemons_.at(daemon % daemons_.size()).in_force();
    return run_compaction(
        {own, stored_change_log{store_.log().key_revision, {own.revision(), own.history(), {}}}});
}

void fleet_model::check_answers() const
{
    for (const change& made : store_.committed()) {
        if (refused_.contains(made.id)) {
            throw std::logic_error("a change reported as refused was committed");
        }
    }
    const auto committed = [&](const change_id& id) {
        return std::ranges::find(store_.committed(), id, &change::id) != store_.committed().end();
    };
    if (!std::ranges::all_of(accepted_, committed)) {
        throw std::logic_error("a change reported as accepted was not committed");
    }
}

} // namespace ej::config
