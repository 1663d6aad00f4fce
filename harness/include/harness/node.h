#pragma once

#include <harness/child_process.h>

#include <core/address.h>

#include <memory>
#include <string>

namespace ej::harness {

/// A process of a fleet and the addresses on which it listens.
struct node {
    std::string name;
    std::unique_ptr<child_process> process;
    core::address caller;           ///< A stand-in's only address; a daemon's address for callers.
    core::address operator_address; ///< Set for daemons only.
};

} // namespace ej::harness
