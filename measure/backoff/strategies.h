#pragma once

#include "restart_strategy.h"

#include <memory>
#include <string_view>
#include <vector>

namespace ej::measure {

/// A strategy under the name that is printed.
struct named_strategy {
    std::string_view name;
    std::shared_ptr<const restart_strategy> how;
};

/// The strategies that are compared.
[[nodiscard]] std::vector<named_strategy> strategies();

} // namespace ej::measure
