#pragma once

#include "beast.h"

#include <http/header.h>
#include <http/request.h>

#include <core/address.h>

#include <optional>
#include <string_view>
#include <vector>

namespace ej::http {

/// The request as the library sends it.
wire::request<wire::string_body> to_wire(const request& outgoing, const core::address& destination);

/// The header fields as values.
std::vector<header> to_headers(const wire::fields& fields);

/// The first value of `name` in `headers`, without regard to case.
std::optional<std::string> find_header(const std::vector<header>& headers, std::string_view name);

} // namespace ej::http
