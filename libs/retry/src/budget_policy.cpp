#include <retry/earned_budget.h>
#include <retry/unlimited_budget.h>

namespace ej::retry {

bool earned_budget::allows(const token_bucket& bucket, double work) const
{
    return bucket.covers(work);
}

bool unlimited_budget::allows(const token_bucket&, double) const
{
    return true;
}

} // namespace ej::retry
