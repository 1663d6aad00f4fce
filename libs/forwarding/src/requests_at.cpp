#include <forwarding/requests_at.h>

#include <algorithm>
#include <chrono>

namespace ej::forwarding {

namespace {

// Older reports are ignored: by then a plain call has ended and a stream has progressed.
constexpr std::chrono::milliseconds report_validity{3'000};

} // namespace

double requests_at(const endpoint_stats& known, core::instant now)
{
    const double from_messages = double(known.in_flight) + double(known.others_in_flight);
    if (known.reported_at == core::instant{} || now - known.reported_at > report_validity) {
        return from_messages;
    }
    const double since = double(known.in_flight) - double(known.in_flight_at_report);
    return std::max(from_messages, double(known.reported) + since);
}

bool has_room(const candidate& one, core::instant now)
{
    return requests_at(one.stats, now) < double(one.what.slots);
}

} // namespace ej::forwarding
