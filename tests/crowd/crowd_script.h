#pragma once

#include <compare>
#include <cstddef>
#include <string>

namespace ej::crowd_tests {

/// What a client sends: `head`, then `part` repeated `parts` times. It reads nothing.
struct crowd_script {
    std::string head;
    std::string part;
    std::size_t parts = 0;

    friend auto operator<=>(const crowd_script&, const crowd_script&) = default;
};

} // namespace ej::crowd_tests
