#pragma once

#include <rollout/answer_counts.h>

#include <compare>
#include <map>
#include <string>

namespace ej::rollout {

/// Answers on one route, by whether an endpoint of the target version gave them.
struct route_answers {
    answer_counts target;
    answer_counts others;

    route_answers& operator+=(const route_answers& other)
    {
        target += other.target;
        others += other.others;
        return *this;
    }

    friend auto operator<=>(const route_answers&, const route_answers&) = default;
};

/// Answers by the name of their route.
using answers_by_route = std::map<std::string, route_answers>;

} // namespace ej::rollout
