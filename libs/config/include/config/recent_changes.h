#pragma once

#include <config/tail.h>

#include <cstddef>

namespace ej::config {

/// `kept` continued by what `more` adds, at most `limit` changes; `more` alone if there is a gap.
[[nodiscard]] tail merge(const tail& kept, const tail& more, std::size_t limit);

} // namespace ej::config
