#include "json.h"

#include <wire/refusal_body.h>

namespace ej::wire {

std::string refusal_body(std::string_view reason, std::string_view detail,
                         std::chrono::milliseconds retry_after)
{
    return write_json({{"outcome", "refused"},
                       {"reason", reason},
                       {"detail", detail},
                       {"retry_after_ms", retry_after.count()}});
}

} // namespace ej::wire
