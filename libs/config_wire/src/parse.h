#pragma once

#include "field_reader.h"
#include "json.h"

#include <core/findings.h>

#include <absl/status/statusor.h>

#include <string_view>

namespace ej::config_wire {

/// Reads `document` by `read(field_reader)`. Error: InvalidArgument with every fault.
template <class Read>
auto parse(const json& document, Read read)
    -> absl::StatusOr<decltype(read(std::declval<const field_reader&>()))>
{
    core::findings found;
    auto value = read(field_reader(document, "", found));
    if (!found.empty()) {
        return found.status();
    }
    return value;
}

/// The same for JSON text.
template <class Read>
auto parse_text(std::string_view text, Read read)
{
    return parse(json::parse(text, nullptr, false), read);
}

} // namespace ej::config_wire
