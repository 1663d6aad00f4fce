#pragma once

#include <config/change.h>
#include <config/configuration.h>
#include <config/stored_change_log.h>
#include <config/submission_effect.h>
#include <config/submission_event.h>
#include <config/submission_limits.h>

#include <core/revision.h>

#include <cstdint>
#include <optional>
#include <random>

namespace ej::config {

/// Appends one change to the platform's log by compare-and-swap.
///
/// The driver carries out each returned effect and passes its result to `handle`, until the effect
/// is `finish_submission`. Not thread-safe: it has a single owner.
class change_submission {
public:
    /// `newest_known` is the highest revision reported by any daemon; `seed` randomizes the
    /// delays, so that submitters that collide don't retry at the same time.
    change_submission(change wanted, configuration in_force, core::revision newest_known,
                      submission_limits limits, std::uint64_t seed);

    /// The first effect.
    [[nodiscard]] submission_effect start();

    /// The next effect; none once finished.
    [[nodiscard]] std::optional<submission_effect> handle(const submission_event& event);

private:
    using log_handler = submission_effect (change_submission::*)();
    using answer_handler = submission_effect (change_submission::*)(const write_answered&);

    submission_effect on(const stored_change_log& event);
    submission_effect on(const stored_snapshot& event);
    submission_effect on(const write_answered& event);
    submission_effect on(const fetch_failed& event);
    submission_effect on(const deadline_passed& event);

    submission_effect handle_log();
    submission_effect continue_from_log();
    submission_effect fetch_snapshot();
    submission_effect finish_platform_behind();
    submission_effect propose();

    submission_effect accept_write(const write_answered& answer);
    submission_effect resolve_conflict(const write_answered& answer);
    submission_effect read_back(const write_answered& answer);

    submission_effect read_again();
    submission_effect finish(submission_outcome outcome, core::revision revision = {});
    submission_effect finish_or_unknown(submission_outcome outcome);
    [[nodiscard]] std::optional<core::revision> revision_in_log() const;

    change wanted_;
    configuration newest_seen_;
    core::revision newest_known_;
    submission_limits limits_;
    std::mt19937_64 random_;
    stored_change_log stored_;
    std::optional<core::revision> pending_revision_; ///< Of a write that may still take effect.
    core::revision pending_key_;                     ///< Key revision that this write expects.
    std::uint32_t reads_ = 0;
    bool write_unanswered_ = false; ///< A write that expects `pending_key_` timed out.
    bool finished_ = false;
};

} // namespace ej::config
