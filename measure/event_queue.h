#pragma once

#include <core/instant.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace ej::measure {

/// Runs scheduled actions in order of time; actions of the same time in the order they were added.
class event_queue {
public:
    void schedule_at(core::instant when, std::function<void()> action)
    {
        events_.push({when, ++added_, std::move(action)});
    }

    void schedule_after(core::duration delay, std::function<void()> action)
    {
        schedule_at(now_ + delay, std::move(action));
    }

    /// Runs all actions up to and including `end`.
    void run_until(core::instant end)
    {
        while (!events_.empty() && events_.top().when <= end) {
            const event next = events_.top();
            events_.pop();
            now_ = next.when;
            next.action();
        }
        now_ = end;
    }

    [[nodiscard]] core::instant now() const { return now_; }

private:
    struct event {
        core::instant when;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::tie(other.when, other.number) < std::tie(when, number);
        }
    };

    std::priority_queue<event> events_;
    std::uint64_t added_ = 0;
    core::instant now_{};
};

} // namespace ej::measure
