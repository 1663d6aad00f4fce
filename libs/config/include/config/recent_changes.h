#pragma once

#include <config/tail.h>

#include <cstddef>

namespace ej::config {

/// `kept` extended by the later changes of `more`; `more` alone if there is a gap between them. Of
/// the result, the newest `limit` changes.
[[nodiscard]] tail merge(const tail& kept, const tail& more, std::size_t limit);

} // namespace ej::config
