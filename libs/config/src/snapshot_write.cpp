#include <config/snapshot_write.h>

#include <utility>

namespace ej::config {

snapshot_write::snapshot_write(configuration snapshot, stored_tail replacement)
    : snapshot_(std::move(snapshot)), replacement_(std::move(replacement))
{
}

snapshot_write_effect snapshot_write::start()
{
    return read_base{};
}

snapshot_write_effect snapshot_write::on(const stored_base& event)
{
    // The snapshot is written first: if the log were shortened before, readers would find a gap
    // between the two.
    if (event.snapshot.revision() < snapshot_.revision()) {
        return write_base{event.key_revision, snapshot_};
    }
    after_write_ = &snapshot_write::complete;
    return replace_log();
}

snapshot_write_effect snapshot_write::on(const write_answered& event)
{
    if (event.outcome != cas_outcome::applied) {
        return finish_snapshot_write{false};
    }
    const step next = std::exchange(after_write_, &snapshot_write::complete);
    return (this->*next)();
}

snapshot_write_effect snapshot_write::replace_log() const
{
    return write_tail{replacement_.key_revision, replacement_.log};
}

snapshot_write_effect snapshot_write::complete() const
{
    return finish_snapshot_write{true};
}

std::optional<stored_tail> shortened(const stored_tail& stored, const tail_limits& limits)
{
    const std::size_t size = stored.log.changes.size();
    if (size < limits.compact_at) {
        return std::nullopt;
    }
    return stored_tail{stored.key_revision,
                       since(stored.log, stored.log.after.plus(size - limits.keep))};
}

} // namespace ej::config
