#pragma once

#include <core/work_target.h>

namespace ej::admission {

/// True for a class that engines run before others: its finish target is within 5 s.
[[nodiscard]] bool is_urgent(const core::work_target& target);

} // namespace ej::admission
