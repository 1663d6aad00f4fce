#pragma once

#include <rollout/change_test.h>
#include <rollout/route_answers.h>

#include <map>
#include <string>
#include <utility>

namespace ej::rollout {

/// Compares the answers of a roll-out's target with those of the other versions, for each route and
/// each way to be bad by itself: a version may fail, begin late or end late, on one route only.
class rollout_judge {
public:
    /// Applies the answers of all daemons since the order.
    void apply(const answers_by_route& answers);

    /// True if the target is bad.
    [[nodiscard]] bool rejects() const { return !fault_.empty(); }

    /// Why the target is bad, for operators; empty while it is not.
    [[nodiscard]] const std::string& fault() const { return fault_; }

    /// The highest sum of all tests relative to their threshold, from 0 on.
    [[nodiscard]] double suspicion() const;

private:
    void apply(const std::string& route, const route_answers& answers);

    std::map<std::pair<std::string, std::string>, change_test> tests_; // By route and measure.
    std::string fault_;
};

} // namespace ej::rollout
