#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace ej::commands {

/// The number in the field "revision" of a JSON body, if there is one.
[[nodiscard]] std::optional<std::uint64_t> revision_of(const std::string& body);

/// "revision N".
[[nodiscard]] std::string revision_text(const std::string& body);

/// The objects of the list in `field`, one per line as "name=value" pairs.
[[nodiscard]] std::string lines_text(const std::string& body, const std::string& field);

/// A daemon's status, one line for each of its parts.
[[nodiscard]] std::string status_text(const std::string& body);

/// The error and its findings, one per line.
[[nodiscard]] std::string error_text(const std::string& body);

} // namespace ej::commands
