#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ej::stand_ins {

/// The body of `POST /generate`.
struct generation_parameters {
    std::string request;
    std::uint64_t attempt = 0;
    std::string prompt;
    std::uint64_t max_tokens = 0; ///< Of the whole answer, prefix included.
    std::int64_t priority = 0;    ///< Higher values run first.
    std::vector<std::string> prefix;

    friend auto operator<=>(const generation_parameters&, const generation_parameters&) = default;
};

} // namespace ej::stand_ins
