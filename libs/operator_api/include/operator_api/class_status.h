#pragma once

#include <core/class_id.h>

#include <chrono>
#include <compare>
#include <cstdint>

namespace ej::operator_api {

/// How one class of work fares at one daemon.
struct class_status {
    core::class_id name;
    std::uint64_t waiting = 0;                  ///< Requests that wait.
    std::chrono::milliseconds oldest_waiting{}; ///< Age of the one that waits longest; >= 0.
    bool meets_target = true;

    friend auto operator<=>(const class_status&, const class_status&) = default;
};

} // namespace ej::operator_api
