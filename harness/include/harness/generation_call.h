#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace ej::harness {

/// Parameters of a generation request.
struct generation_call {
    std::string workspace_key;
    std::string idempotency_key;
    std::string work_class;
    std::string prompt;
    std::uint64_t max_tokens = 0;

    friend auto operator<=>(const generation_call&, const generation_call&) = default;
};

} // namespace ej::harness
