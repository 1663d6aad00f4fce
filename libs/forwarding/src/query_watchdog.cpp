#include <forwarding/query_watchdog.h>

#include <chrono>

namespace ej::forwarding {

namespace {

// Growth of the patience with each repeat that follows an answered probe.
constexpr int slowdown = 4;

} // namespace

query_watchdog::query_watchdog(double draw)
    : first_pause_(std::chrono::duration_cast<core::duration>(draw * probe_interval))
{
}

// While the store is silent, a query that replaces one without an answer does not restart the
// probes, and is given no time to wait for changes: the store may come back at any moment.
void query_watchdog::record_query(core::instant now, core::duration wait)
{
    probe_answered_ = newer_state_ = false;
    patience_ = patience;
    hung_at_ = now + patience_;
    if (!silent_) {
        hung_at_ += wait;
        next_probe_ = hung_at_ + first_pause_;
    }
}

// A store that answers probes but not the query may still be sending a long answer: more queries
// would only delay it.
void query_watchdog::record_repeat(core::instant now)
{
    if (probe_answered_) {
        patience_ *= slowdown;
    }
    probe_answered_ = newer_state_ = false;
    hung_at_ = now + patience_;
}

void query_watchdog::record_probe(core::instant now)
{
    silent_ = true;
    next_probe_ = now + probe_interval;
}

void query_watchdog::record_answer()
{
    silent_ = probe_answered_ = newer_state_ = false;
    hung_at_ = next_probe_ = core::instant::max();
}

core::instant query_watchdog::next_query() const
{
    return probe_answered_ || newer_state_ ? hung_at_ : core::instant::max();
}

} // namespace ej::forwarding
