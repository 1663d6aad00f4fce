#include <config/change_submission.h>

#include <config/apply.h>
#include <config/catch_up.h>
#include <config/validate.h>

#include <algorithm>
#include <array>
#include <utility>

namespace ej::config {

change_submission::change_submission(change wanted, configuration in_force,
                                     core::revision newest_known, submission_limits limits,
                                     std::uint64_t seed)
    : wanted_(std::move(wanted)), newest_seen_(std::move(in_force)), newest_known_(newest_known),
      limits_(limits), random_(seed)
{
}

submission_effect change_submission::start()
{
    return read_change_log{};
}

std::optional<submission_effect> change_submission::handle(const submission_event& event)
{
    if (finished_) {
        return std::nullopt;
    }
    return std::visit([this](const auto& what) { return on(what); }, event);
}

submission_effect change_submission::on(const stored_change_log& event)
{
    stored_ = event;
    return handle_log();
}

submission_effect change_submission::on(const stored_snapshot& event)
{
    if (event.snapshot.revision() > newest_seen_.revision()) {
        newest_seen_ = event.snapshot;
    }
    // If the log still begins after the snapshot, it was read before a later compaction.
    return compare(newest_seen_, stored_.log) == catch_up_state::gap ? read_again() : handle_log();
}

submission_effect change_submission::on(const write_answered& event)
{
    static constexpr std::array<answer_handler, 3> handlers{&change_submission::accept_write,
                                                            &change_submission::resolve_conflict,
                                                            &change_submission::read_back};
    return (this->*handlers.at(static_cast<std::size_t>(event.outcome)))(event);
}

submission_effect change_submission::on(const fetch_failed& /*event*/)
{
    return read_again();
}

submission_effect change_submission::on(const deadline_passed& /*event*/)
{
    return finish_or_unknown(submission_outcome::unavailable);
}

submission_effect change_submission::handle_log()
{
    static constexpr std::array<log_handler, 5> handlers{
        &change_submission::continue_from_log, &change_submission::continue_from_log,
        &change_submission::finish_platform_behind, &change_submission::fetch_snapshot,
        &change_submission::finish_platform_behind};
    return (this->*handlers.at(static_cast<std::size_t>(compare(newest_seen_, stored_.log))))();
}

submission_effect change_submission::fetch_snapshot()
{
    return read_snapshot{};
}

submission_effect change_submission::finish_platform_behind()
{
    return finish_or_unknown(submission_outcome::platform_behind);
}

submission_effect change_submission::continue_from_log()
{
    newest_seen_ = catch_up(newest_seen_, stored_.log);
    if (const auto made = revision_in_log()) {
        return finish(submission_outcome::accepted, *made);
    }
    if (stored_.log.last() < newest_known_) {
        return finish_platform_behind();
    }
    if (pending_revision_ && pending_key_ != stored_.key_revision) {
        // The pending write can no longer take effect. It is known not to have taken effect, unless
        // compaction removed its revision from the log.
        if (stored_.log.after >= *pending_revision_) {
            return finish(submission_outcome::unknown);
        }
        pending_revision_.reset();
        write_unanswered_ = false;
    }
    return propose();
}

submission_effect change_submission::propose()
{
    const core::revision present = revision_of(newest_seen_, wanted_.what);
    if (present != wanted_.expected) {
        return finish(submission_outcome::conflict, present);
    }
    if (!validate(newest_seen_, wanted_).empty()) {
        return finish(submission_outcome::invalid);
    }
    pending_revision_ = stored_.log.last().next();
    pending_key_ = stored_.key_revision;
    return write_change_log{stored_.key_revision, append(stored_.log, wanted_)};
}

submission_effect change_submission::accept_write(const write_answered& answer)
{
    stored_ = {answer.key_revision, append(stored_.log, wanted_)};
    newest_seen_ = catch_up(newest_seen_, stored_.log);
    return finish(submission_outcome::accepted, newest_seen_.revision());
}

submission_effect change_submission::resolve_conflict(const write_answered& /*answer*/)
{
    // If an earlier write with the same key revision had no answer, it may have caused this
    // conflict.
    if (!write_unanswered_) {
        pending_revision_.reset();
    }
    return read_again();
}

submission_effect change_submission::read_back(const write_answered& /*answer*/)
{
    write_unanswered_ = true;
    return read_again();
}

submission_effect change_submission::read_again()
{
    if (++reads_ >= limits_.max_attempts) {
        return finish_or_unknown(submission_outcome::unavailable);
    }
    constexpr std::uint32_t max_doublings = 16;
    const auto max_wait =
        std::min(limits_.max_delay, limits_.first_delay * (1U << std::min(reads_, max_doublings)));
    std::uniform_int_distribution<core::duration::rep> jitter(max_wait.count() / 2,
                                                              max_wait.count());
    return read_change_log{core::duration(jitter(random_))};
}

submission_effect change_submission::finish(submission_outcome outcome, core::revision revision)
{
    finished_ = true;
    submission_result result{outcome, revision, {}, newest_seen_, {}};
    if (outcome == submission_outcome::invalid) {
        result.faults = validate(newest_seen_, wanted_);
    }
    if (outcome == submission_outcome::accepted) {
        result.stored = stored_;
    }
    return finish_submission{std::move(result)};
}

submission_effect change_submission::finish_or_unknown(submission_outcome outcome)
{
    return finish(pending_revision_ ? submission_outcome::unknown : outcome);
}

std::optional<core::revision> change_submission::revision_in_log() const
{
    const auto& changes = stored_.log.changes;
    const auto found = std::ranges::find(
        changes, wanted_.id, [](const committed_change& entry) { return entry.made.id; });
    return found == changes.end() ? std::nullopt : std::optional(found->revision);
}

} // namespace ej::config
