#pragma once

#include <compare>

namespace ej::suspects {

/// Asks another daemon for its evidence against requests.
struct evidence_query {
    friend auto operator<=>(const evidence_query&, const evidence_query&) = default;
};

} // namespace ej::suspects
