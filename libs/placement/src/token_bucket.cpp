#include <placement/token_bucket.h>

#include <algorithm>
#include <chrono>

namespace ej::placement {

bool token_bucket::take(std::uint64_t megabytes, core::instant now)
{
    const std::chrono::duration<double> passed = now - std::max(refilled_, core::instant{});
    const auto limit = static_cast<double>(burst_);
    available_ = std::min(limit, available_ + passed.count() * static_cast<double>(per_second_));
    refilled_ = now;
    const auto requested = static_cast<double>(megabytes);
    if (available_ < std::min(requested, limit)) {
        return false;
    }
    available_ -= requested;
    return true;
}

} // namespace ej::placement
