#pragma once

#include <seal/secret.h>

#include <compare>
#include <vector>

namespace ej::seal {

/// The secrets in use: the first seals, all open. A new one is added at the end everywhere, then
/// moved to the front; the old one goes once nothing that it sealed is valid.
struct secrets {
    std::vector<secret> list; ///< Not empty.

    friend auto operator<=>(const secrets&, const secrets&) = default;
};

} // namespace ej::seal
