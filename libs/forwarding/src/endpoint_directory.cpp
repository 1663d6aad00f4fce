#include <forwarding/endpoint_directory.h>

#include <algorithm>
#include <utility>

namespace ej::forwarding {

bool endpoint_directory::leave(const leaving_evidence& seen)
{
    if (!leaving_.record(seen)) {
        return false;
    }
    // A concurrent `publish` either finds the record or is followed by this update.
    current_.update([&](const available_endpoints& known) { return known.without(seen.run); });
    return true;
}

void endpoint_directory::publish(std::vector<endpoint_record> records)
{
    current_.update([&](const available_endpoints&) {
        std::ranges::for_each(records, [&](endpoint_record& one) {
            one.leaving = one.leaving || leaving_.contains(run_of(one.what));
        });
        return available_endpoints(std::move(records));
    });
}

} // namespace ej::forwarding
