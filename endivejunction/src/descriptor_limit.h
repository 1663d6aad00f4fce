#pragma once

#include <cstddef>

namespace ej {

/// The number of descriptors that this process may have open.
[[nodiscard]] std::size_t descriptor_limit();

} // namespace ej
