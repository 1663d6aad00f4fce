#pragma once

#include "generation.h"

#include <cstdint>
#include <memory>

namespace ej::stand_ins {

/// The attempts of one request on an engine.
struct request_attempts {
    std::uint64_t cancelled_up_to = 0; ///< This attempt and lower ones are rejected.
    std::shared_ptr<generation> current;
};

} // namespace ej::stand_ins
