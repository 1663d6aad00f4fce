#pragma once

#include <http/header.h>

#include <string_view>
#include <vector>

namespace ej::front {

/// True if the header of an answer says in its field `name` that the endpoint leaves: some value,
/// of one or several such fields, each a list separated by commas, is "1" or "true" in any case.
/// Any other value, and an empty one, says nothing.
[[nodiscard]] bool says_leaving(const std::vector<http::header>& fields, std::string_view name);

} // namespace ej::front
