#pragma once

#include "field_reader.h"
#include "json.h"

#include <core/findings.h>

#include <absl/status/statusor.h>

#include <string_view>

namespace ej::config_wire {

/// Reads `document` with `read(field_reader)`. Error: InvalidArgument, listing every fault.
template <class Read>
auto parse(const json& document, Read read)
    -> absl::StatusOr<decltype(read(std::declval<const field_reader&>()))>
{
    core::findings faults;
    auto value = read(field_reader(document, "", faults));
    if (!faults.empty()) {
        return faults.status();
    }
    return value;
}

/// Parses JSON text and reads it like `parse`.
template <class Read>
auto parse_text(std::string_view text, Read read)
{
    return parse(json::parse(text, nullptr, false), read);
}

} // namespace ej::config_wire
