#pragma once

#include <core/address.h>
#include <core/incarnation_id.h>

#include <compare>

namespace ej::actions {

/// The only daemon incarnation that may send an action, and its address for peers.
struct owner {
    core::incarnation_id incarnation;
    core::address peer;

    friend auto operator<=>(const owner&, const owner&) = default;
};

} // namespace ej::actions
