#include <admission/bounded_length.h>

#include <chrono>

namespace ej::admission {

std::optional<refusal> bounded_length::refuse(const fairness::queued_request&,
                                              const queue_state& queue, const capacity&,
                                              core::instant) const
{
    if (queue.all.count < queue.max_waiting) {
        return std::nullopt;
    }
    return refusal{core::refusal_reason::queue_full, std::chrono::seconds(1)};
}

bool bounded_length::too_late(const fairness::queued_request&, const capacity&, core::instant) const
{
    return false;
}

} // namespace ej::admission
