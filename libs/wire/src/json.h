#pragma once

#include <core/findings.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace ej::wire {

using nlohmann::json;

/// Parses `text`; returns a discarded value when it is not JSON.
inline json parse_json(std::string_view text)
{
    return json::parse(text, nullptr, false);
}

/// Writes `value` on one line; bytes that are not UTF-8 are replaced.
inline std::string write_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace ej::wire
