#include <rollout/rollout_judge.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ej::rollout {

namespace {

// Two buckets: an answer is slow if it took more than twice the median of the other versions.
constexpr std::size_t slow_buckets = 2;
// With fewer answers the median says nothing.
constexpr std::uint64_t least_answers = 10;

/// Numbers of answers, and of the bad ones among them.
struct tally {
    std::uint64_t target = 0;
    std::uint64_t target_bad = 0;
    std::uint64_t others = 0;
    std::uint64_t others_bad = 0;
};

tally failures(const route_answers& of)
{
    return {of.target.answers(), of.target.failed, of.others.answers(), of.others.failed};
}

/// The slow ones among the latencies that `by` selects. A request that is still awaited counts as
/// soon as it is slow: otherwise the fast answers of a slow version would be known first.
tally slow_ones(const route_answers& of, latency_counts answer_counts::* by)
{
    const auto& others = of.others.*by;
    const auto median = others.median();
    if (!median || others.total() < least_answers) {
        return {};
    }
    const auto limit = *median + slow_buckets;
    const auto& target = of.target.*by;
    const auto late = of.target.awaited.above(limit);
    const auto late_others = of.others.awaited.above(limit);
    return {target.total() + late, target.above(limit) + late, others.total() + late_others,
            others.above(limit) + late_others};
}

tally late_beginnings(const route_answers& of)
{
    return slow_ones(of, &answer_counts::first_output);
}

tally late_ends(const route_answers& of)
{
    return slow_ones(of, &answer_counts::whole);
}

/// A way to be bad, and how it is counted.
struct measure {
    std::string_view name;
    tally (*count)(const route_answers&);
};

constexpr std::array<measure, 3> measures{
    {{"failed", &failures}, {"first output late", &late_beginnings}, {"end late", &late_ends}}};

} // namespace

void rollout_judge::apply(const answers_by_route& answers)
{
    std::ranges::for_each(answers, [this](const auto& one) { apply(one.first, one.second); });
}

void rollout_judge::apply(const std::string& route, const route_answers& answers)
{
    for (const measure& by : measures) {
        const auto counted = by.count(answers);
        change_test& test = tests_[{route, std::string(by.name)}];
        test.apply(counted.target, counted.target_bad, counted.others, counted.others_bad);
        if (test.alarmed() && fault_.empty()) {
            fault_ =
                absl::StrCat(std::string(by.name), " on route ", route, ": ", counted.target_bad,
                             " of ", counted.target, " answers, other versions ",
                             counted.others_bad, " of ", counted.others);
        }
    }
}

double rollout_judge::suspicion() const
{
    double highest = 0;
    for (const auto& [stratum, test] : tests_) {
        highest = std::max(highest, test.sum() / change_test::threshold);
    }
    return highest;
}

} // namespace ej::rollout
