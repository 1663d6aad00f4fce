#include <placement/token_bucket.h>

#include <algorithm>
#include <chrono>

namespace ej::placement {

bool token_bucket::take(std::uint64_t megabytes, core::instant now)
{
    const std::chrono::duration<double> passed = now - std::max(refilled_, core::instant{});
    const auto limit = static_cast<double>(burst_);
    filled_ = std::min(limit, filled_ + passed.count() * static_cast<double>(per_second_));
    refilled_ = now;
    const auto wanted = static_cast<double>(megabytes);
    if (filled_ < std::min(wanted, limit)) {
        return false;
    }
    filled_ -= wanted;
    return true;
}

} // namespace ej::placement
