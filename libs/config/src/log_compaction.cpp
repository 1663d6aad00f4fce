#include <config/log_compaction.h>

#include <utility>

namespace ej::config {

log_compaction::log_compaction(configuration snapshot, stored_change_log replacement)
    : snapshot_(std::move(snapshot)), replacement_(std::move(replacement))
{
}

log_compaction_effect log_compaction::start()
{
    return read_snapshot{};
}

log_compaction_effect log_compaction::on(const stored_snapshot& event)
{
    // The snapshot is written first: if the log were shortened before, readers would find a gap
    // between the two.
    if (event.snapshot.revision() < snapshot_.revision()) {
        return write_snapshot{event.key_revision, snapshot_};
    }
    after_write_ = &log_compaction::complete;
    return replace_log();
}

log_compaction_effect log_compaction::on(const write_answered& event)
{
    if (event.outcome != cas_outcome::applied) {
        return finish_log_compaction{false};
    }
    const step next = std::exchange(after_write_, &log_compaction::complete);
    return (this->*next)();
}

log_compaction_effect log_compaction::replace_log() const
{
    return write_change_log{replacement_.key_revision, replacement_.log};
}

log_compaction_effect log_compaction::complete() const
{
    return finish_log_compaction{true};
}

std::optional<stored_change_log> compacted(const stored_change_log& stored,
                                           const change_log_limits& limits)
{
    const std::size_t size = stored.log.changes.size();
    if (size < limits.compact_at) {
        return std::nullopt;
    }
    return stored_change_log{stored.key_revision,
                             since(stored.log, stored.log.after.plus(size - limits.keep))};
}

} // namespace ej::config
