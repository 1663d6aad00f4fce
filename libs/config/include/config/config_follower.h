#pragma once

#include <config/configuration.h>
#include <config/follower_effect.h>
#include <config/follower_event.h>
#include <config/follower_settings.h>
#include <config/follower_status.h>
#include <config/member_revisions.h>
#include <config/tree_position.h>
#include <config/watch_schedule.h>

#include <core/instant.h>

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace ej::config {

/// Keeps the newest accepted configuration in force at one daemon: takes it from the platform's
/// service or from peers, and sends it on to other daemons. Never applies a lower revision than the
/// one in force, whatever the source. Not thread-safe.
class config_follower {
public:
    config_follower(follower_settings settings, core::instant started, std::uint64_t seed);

    /// Returns the effects of `event`, in the order in which to carry them out.
    [[nodiscard]] std::vector<follower_effect> handle(const follower_event& event,
                                                      core::instant now);

    /// When the next `tick` is due.
    [[nodiscard]] core::instant next_wake() const;

    /// The configuration in force; revision 0 until one is known.
    [[nodiscard]] const configuration& in_force() const { return in_force_; }

    /// The revision last reported by each member.
    [[nodiscard]] const member_revisions& members() const { return members_; }

    /// How current this daemon's configuration is.
    [[nodiscard]] follower_status status(core::instant now) const;

private:
    using log_handler = void (config_follower::*)(const change_log& log, const core::vm_id& from);

    void on(const members_changed& event);
    void on(const watch_answered& event);
    void on(const watch_failed& event);
    void on(const stored_snapshot& event);
    void on(const peer_message_received& event);
    void on(const change_accepted& event);
    void on(const tick& event);

    void receive(const revision_digest& message, const core::vm_id& from);
    void receive(const change_request& message, const core::vm_id& from);
    void receive(const change_log& message, const core::vm_id& from);
    void receive(const configuration& message, const core::vm_id& from);

    void follow_stored_log(const stored_change_log& stored);
    void advance(const change_log& log, const core::vm_id& from);
    void ignore_log(const change_log& log, const core::vm_id& from);
    void fetch_snapshot(const change_log& log, const core::vm_id& from);
    void request_changes(const change_log& log, const core::vm_id& from);
    void request_configuration(const change_log& log, const core::vm_id& from);

    void adopt(const configuration& next, const change_log& log);
    void send_update(core::revision before);
    void note_contact(core::instant at);
    void watch_if_due();
    void send_digests();
    void request_from_peers();
    void send(const core::vm_id& to, peer_message message);
    [[nodiscard]] revision_digest digest() const;
    [[nodiscard]] std::optional<core::duration> contact_age(core::instant now) const;
    [[nodiscard]] bool may_be_ready() const;
    [[nodiscard]] bool is_watching(core::instant now) const;
    [[nodiscard]] std::optional<core::vm_id> pick(const std::vector<core::vm_id>& from);

    follower_settings settings_;
    core::instant started_;
    std::mt19937_64 random_;
    core::instant now_;
    std::vector<follower_effect> effects_;

    configuration in_force_;
    change_log recent_;
    bool loaded_ = false; ///< `in_force_` was received from the platform or a peer.
    bool ready_ = false;  ///< Stays true once set: a daemon that lags still serves.

    tree_position position_;
    member_revisions members_;
    core::revision newest_known_;
    bool received_from_peer_ = false;
    bool diverged_ = false;
    core::instant next_digest_;

    watch_schedule schedule_;
    std::optional<stored_change_log> pending_; ///< Log to apply once the snapshot has been read.
    std::optional<core::instant> contact_;
    bool platform_behind_ = false;
};

} // namespace ej::config
