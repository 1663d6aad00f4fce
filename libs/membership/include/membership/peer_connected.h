#pragma once

#include <core/address.h>
#include <core/failure_domain_id.h>
#include <core/vm_id.h>

#include <compare>

namespace ej::membership {

/// Event: a connection to a daemon was opened, by either end.
struct peer_connected {
    core::vm_id vm;
    core::failure_domain_id domain;
    core::address where;

    friend auto operator<=>(const peer_connected&, const peer_connected&) = default;
};

} // namespace ej::membership
