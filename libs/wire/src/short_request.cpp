#include "fields.h"

#include <wire/short_request.h>

namespace ej::wire {

short_request parse_short_request(std::string_view text, core::findings& faults)
{
    const auto body = parse_json(text);
    if (!body.is_object()) {
        faults.add("body", "must be a JSON object");
        return {};
    }
    short_request request;
    request.work_class = core::class_id(text_field(body, "class", faults));
    request.path = text_field(body, "path", faults);
    if (!request.path.empty() && !request.path.starts_with('/')) {
        faults.add("path", "must begin with '/'");
    }
    const auto payload = body.find("body");
    request.body = payload == body.end() ? std::string() : write_json(*payload);
    return request;
}

} // namespace ej::wire
