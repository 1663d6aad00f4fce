#include <rollout/change_test.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace ej::rollout {

namespace {

// The rate of the other versions is estimated with a prior of so many answers, of which one in
// fifty is bad: without it, a single bad answer of the target would weigh without limit while the
// others have had none.
constexpr double prior_answers = 25;
constexpr double prior_bad = 0.5;
// Answers of the other versions that their present rate is taken from.
constexpr double recent_answers = 200;

// The alternative: bad so many times as often, and at least at this rate.
constexpr double bad_ratio = 4;
constexpr double least_bad_rate = 0.08;
// While other versions give less than this share of the answers, a trouble that strikes both looks
// like one of the target, so that only a gross change counts.
constexpr double least_control = 0.05;
constexpr double least_bad_rate_without_control = 0.3;
// Answers of all versions over which that share is taken.
constexpr double flow_answers = 40;
constexpr double highest_rate = 0.95;

/// How much `total` has grown beyond `known`, which is raised to it. A count of slow answers may
/// shrink, since what counts as slow follows the other versions.
double growth(std::uint64_t& known, std::uint64_t total)
{
    const auto before = std::exchange(known, std::max(known, total));
    return double(known - before);
}

} // namespace

void change_test::apply(std::uint64_t target, std::uint64_t target_bad, std::uint64_t others,
                        std::uint64_t others_bad)
{
    const auto control = growth(others_, others);
    const auto control_bad = std::min(growth(others_bad_, others_bad), control);
    const auto kept = std::max(0.0, 1 - control / recent_answers);
    recent_ = recent_ * kept + control;
    recent_bad_ = recent_bad_ * kept + control_bad;

    const auto answers = growth(target_, target);
    const auto bad = std::min(growth(target_bad_, target_bad), answers);
    const auto flow_kept = std::max(0.0, 1 - (answers + control) / flow_answers);
    flow_target_ = flow_target_ * flow_kept + answers;
    flow_others_ = flow_others_ * flow_kept + control;
    if (answers == 0) {
        return;
    }
    const double usual =
        std::min((recent_bad_ + prior_bad) / (recent_ + prior_answers), highest_rate / 2);
    const bool controlled = flow_others_ >= least_control * (flow_target_ + flow_others_);
    const double least = controlled ? least_bad_rate : least_bad_rate_without_control;
    const double alternative = std::min(std::max(bad_ratio * usual, least), highest_rate);
    const double gain = bad * std::log(alternative / usual) +
                        (answers - bad) * std::log((1 - alternative) / (1 - usual));
    sum_ = std::max(0.0, sum_ + gain);
}

} // namespace ej::rollout
