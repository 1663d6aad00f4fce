#include <retry/token_bucket.h>

#include <algorithm>

namespace ej::retry {

token_bucket token_bucket::earned(double work) const
{
    return {fraction, capacity, std::min(level + fraction * work, capacity)};
}

token_bucket token_bucket::spent(double work) const
{
    return {fraction, capacity, level - work};
}

} // namespace ej::retry
