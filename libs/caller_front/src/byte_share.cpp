#include "byte_share.h"

#include <algorithm>

namespace ej::front {

namespace {

std::size_t charged(std::size_t bytes)
{
    return bytes - std::min(bytes, byte_share::free_bytes);
}

} // namespace

bool byte_share::resize(std::size_t bytes)
{
    const auto needed = charged(bytes);
    if (needed > taken_ && !quota_->take(taken_, needed - taken_)) {
        return false;
    }
    if (needed < taken_) {
        quota_->give_back(taken_ - needed);
    }
    taken_ = needed;
    return true;
}

void byte_share::take_over(std::size_t bytes)
{
    const auto needed = charged(bytes);
    if (needed > taken_) {
        quota_->force(needed - taken_);
    }
    else {
        quota_->give_back(taken_ - needed);
    }
    taken_ = needed;
}

} // namespace ej::front
