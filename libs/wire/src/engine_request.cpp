#include "json.h"

#include <wire/engine_position.h>
#include <wire/engine_request.h>

namespace ej::wire {

std::string to_json(const engine_request& order)
{
    return write_json({{"request", order.request.text()},
                       {"attempt", order.attempt.value()},
                       {"model", order.model.text()},
                       {"prompt", order.prompt},
                       {"max_tokens", order.max_tokens},
                       {"priority", order.priority},
                       {"prefix_text", order.prefix_text},
                       {"prefix_tokens", order.prefix_tokens}});
}

std::string to_json(const engine_position& position)
{
    return write_json({{"request", position.request.text()},
                       {"attempt", position.attempt.value()},
                       {"offset", position.offset.value()}});
}

} // namespace ej::wire
