#pragma once

#include <core/address.h>
#include <core/incarnation_id.h>

#include <compare>

namespace ej::actions {

/// The daemon incarnation that alone may send an action, and where its peers reach it.
struct owner {
    core::incarnation_id incarnation;
    core::address peer;

    friend auto operator<=>(const owner&, const owner&) = default;
};

} // namespace ej::actions
