#include <suspects/always_run_policy.h>
#include <suspects/death_count_policy.h>
#include <suspects/isolate_then_refuse_policy.h>

namespace ej::suspects {

namespace {

// An endpoint may die for reasons other than the request, so a single death proves nothing. A death
// while the request ran alone is stronger evidence.
constexpr std::uint32_t solo_death_weight = 2;

} // namespace

verdict isolate_then_refuse_policy::evaluate(const evidence& known) const
{
    if (solo_death_weight * known.solo_deaths + known.shared_deaths >= weight_to_refuse_) {
        return verdict::refuse;
    }
    return known.solo_deaths + known.shared_deaths > 0 ? verdict::isolate : verdict::run;
}

verdict death_count_policy::evaluate(const evidence& known) const
{
    return known.solo_deaths + known.shared_deaths >= deaths_ ? verdict::refuse : verdict::run;
}

verdict always_run_policy::evaluate(const evidence&) const
{
    return verdict::run;
}

} // namespace ej::suspects
