#include "json.h"

#include <wire/outcome_body.h>

#include <utility>

namespace ej::wire {

std::string done_body(std::string_view result)
{
    auto value = parse_json(result);
    if (value.is_discarded()) {
        value = std::string(result);
    }
    return write_json({{"outcome", "done"}, {"result", std::move(value)}});
}

std::string outcome_body(std::string_view outcome, std::string_view reason)
{
    return write_json({{"outcome", outcome}, {"reason", reason}});
}

} // namespace ej::wire
