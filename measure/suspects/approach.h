#pragma once

#include "isolation.h"

#include <suspects/part_policy.h>

#include <functional>
#include <memory>
#include <string_view>

namespace ej::measure {

/// One way to decide which parts are held back.
struct approach {
    std::string_view name;
    std::function<std::unique_ptr<const suspects::part_policy>()> make;
    isolation scope = isolation::none;
};

} // namespace ej::measure
