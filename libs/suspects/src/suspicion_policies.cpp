#include <suspects/always_run_policy.h>
#include <suspects/death_count_policy.h>
#include <suspects/isolate_then_refuse_policy.h>

namespace ej::suspects {

namespace {

std::uint32_t deaths(const evidence& known)
{
    return known.solo_deaths + known.shared_deaths + known.deaths_after_output;
}

} // namespace

// An endpoint may die for reasons other than the request, so a single death proves nothing. A death
// while the request ran alone is stronger evidence.
verdict isolate_then_refuse_policy::evaluate(const evidence& known) const
{
    const auto weight = weights_.alone * known.solo_deaths + weights_.shared * known.shared_deaths +
                        weights_.after_output * known.deaths_after_output;
    if (weight >= weights_.refuse) {
        return verdict::refuse;
    }
    return deaths(known) > 0 ? verdict::isolate : verdict::run;
}

verdict death_count_policy::evaluate(const evidence& known) const
{
    return deaths(known) >= deaths_ ? verdict::refuse : verdict::run;
}

verdict always_run_policy::evaluate(const evidence&) const
{
    return verdict::run;
}

} // namespace ej::suspects
