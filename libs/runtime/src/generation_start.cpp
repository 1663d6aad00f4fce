#include "generation_start.h"

#include <numeric>

namespace ej::runtime {

wire::engine_request order_of(const generation_start& start, const generation::state& state)
{
    wire::engine_request order;
    order.request = start.request;
    order.attempt = state.attempt;
    order.model = start.work_class.service;
    order.prompt = start.prompt.value_or("");
    order.max_tokens = start.max_tokens;
    order.prefix_text =
        std::accumulate(start.delivered.begin(), start.delivered.end(), std::string());
    order.prefix_tokens = state.next.value();
    return order;
}

} // namespace ej::runtime
