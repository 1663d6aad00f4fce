#pragma once

#include <harness/child_process.h>

#include <core/address.h>

#include <memory>
#include <string>

namespace ej::harness {

/// A started process of a fleet and where it listens.
struct node {
    std::string name;
    std::unique_ptr<child_process> process;
    core::address caller;        ///< A stand-in's only address; a daemon's for callers.
    core::address operator_side; ///< Daemons only.
};

} // namespace ej::harness
