#pragma once

#include <core/instant.h>

#include <cstdint>

namespace ej::measure {

/// A generation at an engine of the model.
struct engine_job {
    std::uint64_t id = 0;
    std::uint64_t unread = 0;   ///< Tokens to be read before the next output.
    std::uint64_t prompt = 0;   ///< Tokens.
    std::uint64_t output = 0;   ///< Tokens that it will produce in all.
    std::uint64_t produced = 0; ///< Tokens.

    [[nodiscard]] std::uint64_t tokens() const { return prompt + produced; }
};

} // namespace ej::measure
