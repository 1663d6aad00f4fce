#include <rollout/change_test.h>

#include <catch2/catch.hpp>

#include <cstdint>
#include <random>

namespace ej::rollout {

namespace {

/// Answers of both versions, drawn with fixed rates of bad ones and applied in groups.
class drawn_answers {
public:
    drawn_answers(double target_rate, double others_rate, std::uint64_t seed)
        : target_rate_(target_rate), others_rate_(others_rate), random_(seed)
    {
    }

    void add(change_test& to, std::uint64_t target, std::uint64_t others)
    {
        target_ += target;
        others_ += others;
        target_bad_ += bad_of(target, target_rate_);
        others_bad_ += bad_of(others, others_rate_);
        to.apply(target_, target_bad_, others_, others_bad_);
    }

    [[nodiscard]] std::uint64_t target_bad() const { return target_bad_; }

private:
    std::uint64_t bad_of(std::uint64_t answers, double rate)
    {
        return std::binomial_distribution<std::uint64_t>(answers, rate)(random_);
    }

    double target_rate_;
    double others_rate_;
    std::mt19937_64 random_;
    std::uint64_t target_ = 0;
    std::uint64_t target_bad_ = 0;
    std::uint64_t others_ = 0;
    std::uint64_t others_bad_ = 0;
};

constexpr std::uint64_t histories = 200;
constexpr std::uint64_t groups = 200;

/// In how many of the histories the target counts as bad.
std::uint64_t alarms(double target_rate, double others_rate)
{
    std::uint64_t alarmed = 0;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        drawn_answers drawn(target_rate, others_rate, seed);
        change_test test;
        for (std::uint64_t group = 0; group < groups && !test.alarmed(); ++group) {
            drawn.add(test, 2, 12);
        }
        alarmed += test.alarmed() ? 1 : 0;
    }
    return alarmed;
}

} // namespace

TEST_CASE("a version as good as the others is not found bad")
{
    CHECK(alarms(0, 0) == 0);
    // The threshold stands for one false alarm in 100,000 answers: 1.6 are expected of the 160,000
    // answers here, and more than 5 in one of 100 cases.
    CHECK(alarms(0.02, 0.02) + alarms(0.2, 0.2) <= 5);
}

TEST_CASE("a version that fails several times as often is found bad before its 50th bad answer")
{
    for (const double rate : {0.1, 0.3, 1.0}) {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            drawn_answers drawn(rate, 0.01, seed);
            change_test test;
            while (!test.alarmed() && drawn.target_bad() < 50) {
                drawn.add(test, 2, 12);
            }
            INFO("rate " << rate << ", seed " << seed);
            CHECK(test.alarmed());
        }
    }
}

TEST_CASE("a version that turns bad late is found as soon as one that was bad from the start")
{
    change_test test;
    test.apply(1'000, 0, 5'000, 0);
    CHECK(test.sum() == 0);
    test.apply(1'010, 10, 5'060, 0);
    CHECK(test.alarmed());
}

TEST_CASE("a count of slow answers that shrinks and grows again counts no answer twice")
{
    change_test test;
    test.apply(100, 4, 500, 4);
    const auto before = test.sum();
    test.apply(100, 2, 500, 2);
    test.apply(100, 4, 500, 4);
    CHECK(test.sum() == before);
}

TEST_CASE("without answers of other versions only a gross change counts")
{
    change_test alone;
    change_test beside;
    for (std::uint64_t answers = 20; answers <= 200; answers += 20) {
        alone.apply(answers, answers / 10, 0, 0);
        beside.apply(answers, answers / 10, 5 * answers, 0);
    }
    CHECK_FALSE(alone.alarmed());
    CHECK(beside.alarmed());
}

} // namespace ej::rollout
