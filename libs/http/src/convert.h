#pragma once

#include "beast.h"

#include <http/header.h>
#include <http/request.h>

#include <core/address.h>

#include <optional>
#include <string_view>
#include <vector>

namespace ej::http {

/// Converts a request to Beast's type.
wire::request<wire::string_body> to_wire(const request& outgoing, const core::address& destination);

/// Converts Beast's header fields to values.
std::vector<header> to_headers(const wire::fields& fields);

/// The first value of `name` in `headers`, compared case-insensitively.
std::optional<std::string> find_header(const std::vector<header>& headers, std::string_view name);

} // namespace ej::http
