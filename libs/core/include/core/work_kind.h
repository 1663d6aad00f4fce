#pragma once

#include <optional>
#include <string_view>

namespace ej::core {

/// Whether the work of a class may run more than once.
enum class work_kind {
    generation,    ///< Streamed by a model engine; resumed from the delivered prefix.
    idempotent,    ///< Short; may run again.
    non_idempotent ///< Short; runs at most once.
};

/// The name used in settings and messages.
[[nodiscard]] std::string_view to_string(work_kind kind);

/// The kind named `text`, if any.
[[nodiscard]] std::optional<work_kind> parse_work_kind(std::string_view text);

} // namespace ej::core
