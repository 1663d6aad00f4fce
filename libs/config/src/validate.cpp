#include <config/validate.h>

#include "action_validator.h"

#include <variant>

namespace ej::config {

core::findings validate(const configuration& before, const change& wanted)
{
    core::findings found;
    if (wanted.id.empty()) {
        found.add("id", "must not be empty");
    }
    std::visit(action_validator{before, found}, wanted.what);
    return found;
}

} // namespace ej::config
