#pragma once

#include <fairness/queued_request.h>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace ej::fairness {

/// Reference implementation of max-min shares: a list that is scanned for each operation.
struct naive_fair_queue {
    std::vector<queued_request> waiting;
    std::map<core::workspace_id, double> tags;
    double virtual_time = 0;

    [[nodiscard]] bool waits(const core::workspace_id& workspace) const
    {
        return std::ranges::count(waiting, workspace, &queued_request::workspace) > 0;
    }

    void push(const queued_request& added)
    {
        if (!waits(added.workspace)) {
            tags[added.workspace] = std::max(tags[added.workspace], virtual_time);
        }
        waiting.push_back(added);
    }

    std::optional<queued_request> pop()
    {
        if (waiting.empty()) {
            return std::nullopt;
        }
        const auto key = [&](const queued_request& one) {
            return std::pair(tags[one.workspace], one.workspace);
        };
        const auto first = std::ranges::min_element(waiting, {}, key);
        queued_request taken(*first);
        virtual_time = std::max(virtual_time, tags[taken.workspace]);
        tags[taken.workspace] += taken.work;
        waiting.erase(first);
        return taken;
    }

    void put_back(const queued_request& taken)
    {
        tags[taken.workspace] -= taken.work;
        waiting.insert(waiting.begin(), taken);
    }

    void cancel(const core::request_id& request)
    {
        std::erase_if(waiting, [&](const queued_request& one) { return one.request == request; });
    }
};

} // namespace ej::fairness
