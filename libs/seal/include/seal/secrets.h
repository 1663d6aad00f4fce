#pragma once

#include <seal/secret.h>

#include <compare>
#include <vector>

namespace ej::seal {

/// The secrets in use: the first one seals, and each one opens. To rotate, append the new secret at
/// every daemon, then move it to the front, and remove the old one when no text sealed with it is
/// valid any more.
struct secrets {
    std::vector<secret> list; ///< Not empty.

    friend auto operator<=>(const secrets&, const secrets&) = default;
};

} // namespace ej::seal
