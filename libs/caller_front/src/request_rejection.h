#pragma once

#include "request_fault.h"

#include <string_view>

namespace ej::front {

/// The answer to a request that cannot be read.
struct request_rejection {
    unsigned status = 0;
    std::string_view reason;

    friend auto operator<=>(const request_rejection&, const request_rejection&) = default;
};

/// The answer to a request with `fault`.
[[nodiscard]] request_rejection rejection_of(request_fault fault);

} // namespace ej::front
