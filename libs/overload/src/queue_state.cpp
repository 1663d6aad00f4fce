#include <overload/queue_state.h>

#include <algorithm>
#include <chrono>

namespace ej::overload {

namespace {

using seconds = std::chrono::duration<double>;

// Bounds the forecast when hardly any generation ends.
constexpr seconds longest{3'600};

} // namespace

core::duration queue_state::wait() const
{
    if (ends_per_second <= 0) {
        return {};
    }
    const auto expected = std::min(seconds(double(ahead + 1) / ends_per_second), longest);
    return std::chrono::duration_cast<core::duration>(expected);
}

} // namespace ej::overload
