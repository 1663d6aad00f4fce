#include <actions/result_ledger.h>

namespace ej::actions {

std::vector<action_id> result_ledger::add(const kept_result& result)
{
    const std::size_t slot = std::hash<action_id>{}(result.action) % queues;
    return queues_.with(slot, [&](auto& entries) {
        result_queue& queue = entries[slot];
        queue.kept.push_back(result);
        queue.bytes += result.bytes;
        std::vector<action_id> dropped;
        while (queue.bytes > max_bytes_ / queues) {
            dropped.push_back(queue.kept.front().action);
            queue.bytes -= queue.kept.front().bytes;
            queue.kept.pop_front();
        }
        return dropped;
    });
}

} // namespace ej::actions
