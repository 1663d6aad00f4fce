#include <forwarding/draw_service.h>

#include <numeric>

namespace ej::forwarding {

const core::service_id& draw_service(const route& by, std::uint64_t draw)
{
    const auto total =
        std::accumulate(by.backends.begin(), by.backends.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const backend& one) { return sum + one.weight; });
    if (total == 0) {
        // Weights must be > 0; a caller's mistake must not cause a division by zero.
        return by.backends.front().service;
    }
    draw %= total;
    for (const backend& one : by.backends) {
        if (draw < one.weight) {
            return one.service;
        }
        draw -= one.weight;
    }
    return by.backends.back().service;
}

} // namespace ej::forwarding
