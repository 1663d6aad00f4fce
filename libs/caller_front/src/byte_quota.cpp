#include "byte_quota.h"

namespace ej::front {

bool byte_quota::take(std::size_t held, std::size_t more)
{
    auto used = used_.load();
    do {
        if (used + more > limit_ || held + more > limit_ - used - more) {
            return false;
        }
    } while (!used_.compare_exchange_weak(used, used + more));
    return true;
}

} // namespace ej::front
