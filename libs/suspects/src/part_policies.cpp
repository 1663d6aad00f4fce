#include <suspects/independent_bursts_policy.h>
#include <suspects/independent_deaths_policy.h>
#include <suspects/total_deaths_policy.h>
#include <suspects/unanswered_deaths_policy.h>

namespace ej::suspects {

namespace {

constexpr std::uint32_t least_bursts = 2;

} // namespace

bool total_deaths_policy::holds(const part_evidence& known) const
{
    return known.total >= deaths_;
}

bool unanswered_deaths_policy::holds(const part_evidence& known) const
{
    return known.unanswered >= deaths_;
}

bool independent_bursts_policy::holds(const part_evidence& known) const
{
    return known.bursts >= bursts_;
}

bool independent_deaths_policy::holds(const part_evidence& known) const
{
    return known.bursts >= least_bursts &&
           known.independent >= (known.proven ? deaths_if_proven_ : deaths_);
}

} // namespace ej::suspects
