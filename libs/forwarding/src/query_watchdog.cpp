#include <forwarding/query_watchdog.h>

#include <chrono>

namespace ej::forwarding {

query_watchdog::query_watchdog(double draw)
    : first_pause_(std::chrono::duration_cast<core::duration>(draw * probe_interval))
{
}

// While the store is silent, a query that replaces one without an answer does not restart the
// probes, and is given no time to wait for changes: the store may come back at any moment.
void query_watchdog::record_query(core::instant now, core::duration wait)
{
    sign_of_life_ = false;
    hung_at_ = now + patience;
    if (!silent_) {
        hung_at_ += wait;
        next_probe_ = hung_at_ + first_pause_;
    }
}

void query_watchdog::record_probe(core::instant now)
{
    silent_ = true;
    next_probe_ = now + probe_interval;
}

void query_watchdog::record_answer()
{
    silent_ = false;
    sign_of_life_ = false;
    hung_at_ = next_probe_ = core::instant::max();
}

core::instant query_watchdog::next_query() const
{
    return sign_of_life_ ? hung_at_ : core::instant::max();
}

} // namespace ej::forwarding
