#include "fields.h"

namespace ej::wire {

std::string text_field(const json& body, const char* name, core::findings& faults)
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_string() ||
        found->get_ref<const std::string&>().empty()) {
        faults.add(name, "must be a non-empty string");
        return {};
    }
    return found->get<std::string>();
}

} // namespace ej::wire
