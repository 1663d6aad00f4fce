#include <retry/token_bucket.h>

#include <algorithm>

namespace ej::retry {

token_bucket token_bucket::earned(double work) const
{
    return {fraction, most, std::min(level + fraction * work, most)};
}

token_bucket token_bucket::spent(double work) const
{
    return {fraction, most, level - work};
}

} // namespace ej::retry
