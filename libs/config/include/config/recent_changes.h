#pragma once

#include <config/change_log.h>

#include <cstddef>

namespace ej::config {

/// `kept` extended by the later changes of `more`; `more` alone if there is a gap between them. Of
/// the result, the newest `limit` changes.
[[nodiscard]] change_log merge(const change_log& kept, const change_log& more, std::size_t limit);

} // namespace ej::config
