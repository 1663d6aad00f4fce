#pragma once

#include "generation.h"

#include <cstdint>
#include <memory>

namespace ej::stand_ins {

/// What an engine knows of one request.
struct request_attempts {
    std::uint64_t cancelled_up_to = 0; ///< This attempt and lower ones never start again.
    std::shared_ptr<generation> current;
};

} // namespace ej::stand_ins
