#pragma once

#include <admission/predicted_finish.h>
#include <admission/submit_result.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace ej::admission {

/// Reference implementation of a class's queue for a single workspace, as a plain list.
struct naive_class_queue {
    std::vector<fairness::queued_request> waiting;
    std::size_t max_waiting = 0;
    predicted_finish policy;

    [[nodiscard]] bool admits(const fairness::queued_request& asked, const capacity& capacity,
                              core::instant now) const
    {
        double work = 0;
        for (const auto& one : waiting) {
            work += one.work;
        }
        const queue_state state{{waiting.size(), work},
                                {waiting.size(), work},
                                1,
                                static_cast<std::uint32_t>(max_waiting),
                                0,
                                0,
                                0};
        return !policy.refuse(asked, state, capacity, now);
    }

    std::optional<fairness::queued_request> next(const capacity& capacity, core::instant now)
    {
        std::erase_if(waiting, [&, found = false](const fairness::queued_request& one) mutable {
            found = found || !policy.too_late(one, capacity, now);
            return !found;
        });
        if (waiting.empty()) {
            return std::nullopt;
        }
        auto first = waiting.front();
        waiting.erase(waiting.begin());
        return first;
    }
};

} // namespace ej::admission
