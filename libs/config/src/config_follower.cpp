#include <config/config_follower.h>

#include <config/catch_up.h>
#include <config/recent_changes.h>

#include <algorithm>
#include <array>
#include <utility>

namespace ej::config {

config_follower::config_follower(follower_settings settings, core::instant started,
                                 std::uint64_t seed)
    : settings_(std::move(settings)), started_(started), random_(seed), now_(started),
      position_(find_tree_position(settings_.self, {}, settings_.watchers, settings_.fanout)),
      next_digest_(started), schedule_(settings_, started)
{
}

std::vector<follower_effect> config_follower::handle(const follower_event& event, core::instant now)
{
    now_ = std::max(now_, now);
    std::visit([this](const auto& what) { on(what); }, event);
    watch_if_due();
    ready_ = ready_ || may_be_ready();
    return std::exchange(effects_, {});
}

core::instant config_follower::next_wake() const
{
    return is_watching(now_) ? std::min(next_digest_, schedule_.due()) : next_digest_;
}

void config_follower::on(const members_changed& event)
{
    members_.replace(event.members);
    position_ =
        find_tree_position(settings_.self, event.members, settings_.watchers, settings_.fanout);
}

void config_follower::on(const watch_answered& event)
{
    note_contact(now_);
    schedule_.answered(event.watch_number, now_);
    if (event.stored) {
        follow_stored_log(*event.stored);
    }
}

void config_follower::on(const watch_failed& event)
{
    schedule_.failed(event.watch_number, now_);
}

void config_follower::on(const stored_snapshot& event)
{
    note_contact(now_);
    if (!pending_) {
        return;
    }
    const stored_change_log stored = *std::exchange(pending_, std::nullopt);
    const configuration newest = catch_up(event.snapshot, stored.log);
    schedule_.followed(stored.key_revision);
    schedule_.snapshot_arrived(now_);
    if (newest.revision() <= in_force_.revision()) {
        platform_behind_ = true;
        return;
    }
    platform_behind_ = false;
    adopt(newest, stored.log);
}

void config_follower::on(const peer_message_received& event)
{
    received_from_peer_ = true;
    std::visit([&](const auto& message) { receive(message, event.from); }, event.message);
}

void config_follower::on(const change_accepted& event)
{
    note_contact(now_);
    if (event.made.revision() > in_force_.revision()) {
        adopt(event.made, event.stored.log);
    }
}

void config_follower::on(const tick& /*event*/)
{
    if (now_ >= next_digest_) {
        loaded_ ? send_digests() : request_from_peers();
        next_digest_ = now_ + settings_.digest_interval;
    }
}

void config_follower::follow_stored_log(const stored_change_log& stored)
{
    static constexpr std::array<log_handler, 5> handlers{
        &config_follower::advance, &config_follower::ignore_log, &config_follower::ignore_log,
        &config_follower::fetch_snapshot, &config_follower::fetch_snapshot};
    const catch_up_state state = compare(in_force_, stored.log);
    pending_ = stored;
    (this->*handlers.at(static_cast<std::size_t>(state)))(stored.log, {});
    if (state == catch_up_state::gap || state == catch_up_state::diverged) {
        // The next watch starts after the snapshot has arrived or its read has timed out.
        schedule_.await_snapshot(now_);
        return;
    }
    pending_.reset();
    platform_behind_ = state == catch_up_state::older;
    schedule_.followed(stored.key_revision);
    loaded_ = true;
}

void config_follower::receive(const revision_digest& message, const core::vm_id& from)
{
    members_.record(from, message.revision);
    newest_known_ = std::max(newest_known_, message.revision);
    if (message.contact_age) {
        note_contact(now_ - *message.contact_age);
    }
    if (message.revision > in_force_.revision()) {
        send(from, change_request{in_force_.revision()});
    }
    if (message.revision < in_force_.revision()) {
        send(from, digest());
    }
    const bool same_length = loaded_ && message.revision == in_force_.revision();
    diverged_ = diverged_ || (same_length && message.history != in_force_.history());
}

void config_follower::receive(const change_request& message, const core::vm_id& from)
{
    if (!loaded_) {
        return;
    }
    const bool covered = message.after >= recent_.after && message.after <= recent_.last();
    if (message.whole || !covered) {
        send(from, in_force_);
        return;
    }
    send(from, since(recent_, message.after));
}

void config_follower::receive(const change_log& message, const core::vm_id& from)
{
    static constexpr std::array<log_handler, 5> handlers{
        &config_follower::advance, &config_follower::ignore_log, &config_follower::ignore_log,
        &config_follower::request_changes, &config_follower::request_configuration};
    newest_known_ = std::max(newest_known_, message.last());
    const catch_up_state state = compare(in_force_, message);
    (this->*handlers.at(static_cast<std::size_t>(state)))(message, from);
    loaded_ = loaded_ || state == catch_up_state::same;
}

void config_follower::receive(const configuration& message, const core::vm_id& /*from*/)
{
    newest_known_ = std::max(newest_known_, message.revision());
    loaded_ = true;
    if (message.revision() > in_force_.revision()) {
        adopt(message, {message.revision(), message.history(), {}});
    }
}

void config_follower::advance(const change_log& log, const core::vm_id& /*from*/)
{
    adopt(catch_up(in_force_, log), log);
}

void config_follower::ignore_log(const change_log& /*log*/, const core::vm_id& /*from*/) {}

void config_follower::fetch_snapshot(const change_log& /*log*/, const core::vm_id& /*from*/)
{
    effects_.emplace_back(read_snapshot{});
}

void config_follower::request_changes(const change_log& /*log*/, const core::vm_id& from)
{
    send(from, change_request{in_force_.revision()});
}

void config_follower::request_configuration(const change_log& log, const core::vm_id& from)
{
    diverged_ = true;
    if (log.last() > in_force_.revision()) {
        send(from, change_request{in_force_.revision(), true});
    }
}

void config_follower::adopt(const configuration& next, const change_log& log)
{
    const core::revision before = in_force_.revision();
    in_force_ = next;
    loaded_ = true;
    newest_known_ = std::max(newest_known_, next.revision());
    recent_ = merge(recent_, log, settings_.recent_changes);
    if (recent_.last() != next.revision()) {
        recent_ = {next.revision(), next.history(), {}};
    }
    effects_.emplace_back(apply_configuration{next});
    send_update(before);
}

void config_follower::send_update(core::revision before)
{
    const bool covered = before >= recent_.after;
    const peer_message update =
        covered ? peer_message(since(recent_, before)) : peer_message(digest());
    std::ranges::for_each(position_.children, [&](const auto& child) { send(child, update); });
    std::ranges::for_each(position_.roots, [&](const auto& root) { send(root, update); });
}

void config_follower::note_contact(core::instant at)
{
    contact_ = contact_ ? std::max(*contact_, at) : at;
}

void config_follower::watch_if_due()
{
    if (now_ >= schedule_.due() && is_watching(now_)) {
        effects_.emplace_back(schedule_.next_watch(now_));
    }
}

void config_follower::send_digests()
{
    std::ranges::for_each(position_.children, [&](const auto& child) { send(child, digest()); });
    const bool pick_remote = !position_.remote_peers.empty() && (random_() % 2 == 0);
    if (const auto other = pick(pick_remote ? position_.remote_peers : position_.domain_peers)) {
        send(*other, digest());
    }
}

// A daemon without a configuration sends no digest: peers would take revision 0 for an empty
// platform.
void config_follower::request_from_peers()
{
    std::ranges::for_each(position_.roots, [&](const auto& root) { send(root, change_request{}); });
    if (const auto other =
            pick(random_() % 2 == 0 ? position_.remote_peers : position_.domain_peers)) {
        send(*other, change_request{});
    }
}

void config_follower::send(const core::vm_id& to, peer_message message)
{
    effects_.emplace_back(send_to_peer{to, std::move(message)});
}

revision_digest config_follower::digest() const
{
    return {in_force_.revision(), in_force_.history(), contact_age(now_)};
}

std::optional<core::duration> config_follower::contact_age(core::instant now) const
{
    return contact_ ? std::optional<core::duration>(now - *contact_) : std::nullopt;
}

// The platform may have lost changes while this daemon was down. Waiting for peers shows whether
// one of them has a newer revision.
bool config_follower::may_be_ready() const
{
    const bool alone = position_.domain_peers.empty() && position_.remote_peers.empty();
    const bool peers_could_answer =
        received_from_peer_ || alone || now_ - started_ >= settings_.peer_grace;
    return loaded_ && peers_could_answer && in_force_.revision() >= newest_known_;
}

bool config_follower::is_watching(core::instant now) const
{
    const core::duration contact_silence = now - contact_.value_or(started_);
    const auto extra_watchers =
        static_cast<std::uint64_t>(contact_silence / settings_.takeover_after);
    const auto limit =
        std::min<std::uint64_t>(settings_.watchers + extra_watchers, settings_.max_watchers);
    return position_.rank < limit;
}

std::optional<core::vm_id> config_follower::pick(const std::vector<core::vm_id>& from)
{
    return from.empty() ? std::nullopt : std::optional(from[random_() % from.size()]);
}

follower_status config_follower::status(core::instant now) const
{
    const core::duration contact_silence = now - contact_.value_or(started_);
    follower_status status;
    status.in_force = in_force_.revision();
    status.newest_known = newest_known_;
    status.contact_age = contact_age(now);
    status.ready = ready_;
    status.watching = is_watching(now);
    status.behind =
        in_force_.revision() < newest_known_ || contact_silence >= settings_.behind_after;
    status.platform_behind = platform_behind_;
    status.diverged = diverged_;
    return status;
}

} // namespace ej::config
