#pragma once

#include <compare>
#include <cstddef>

namespace ej::membership {

/// How the polling of endpoints is shared among the daemons of a failure domain.
struct poll_settings {
    std::size_t endpoints_per_daemon = 16; ///< Approximate number that each daemon polls; from 1.
    std::size_t min_pollers = 2; ///< Daemons that poll each endpoint, if the domain has as many.

    friend auto operator<=>(const poll_settings&, const poll_settings&) = default;
};

} // namespace ej::membership
