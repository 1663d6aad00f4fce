#include <config/catch_up.h>

#include <config/apply.h>

#include <numeric>

namespace ej::config {

catch_up_state compare(const configuration& in_force, const change_log& log)
{
    if (log.last() < in_force.revision()) {
        return catch_up_state::older;
    }
    if (log.after > in_force.revision()) {
        return catch_up_state::gap;
    }
    if (history_at(log, in_force.revision()) != in_force.history()) {
        return catch_up_state::diverged;
    }
    return log.last() == in_force.revision() ? catch_up_state::same : catch_up_state::advanced;
}

configuration catch_up(const configuration& in_force, const change_log& log)
{
    if (compare(in_force, log) != catch_up_state::advanced) {
        return in_force;
    }
    const change_log later = since(log, in_force.revision());
    return std::accumulate(later.changes.begin(), later.changes.end(), in_force, apply);
}

} // namespace ej::config
