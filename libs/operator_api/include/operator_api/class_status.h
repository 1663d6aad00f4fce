#pragma once

#include <core/class_id.h>

#include <chrono>
#include <compare>
#include <cstdint>

namespace ej::operator_api {

/// Queue state of one class of work at one daemon.
struct class_status {
    core::class_id name;
    std::uint64_t waiting = 0;                  ///< Queued requests.
    std::chrono::milliseconds oldest_waiting{}; ///< Age of the oldest queued request; >= 0.
    bool meets_target = true;

    friend auto operator<=>(const class_status&, const class_status&) = default;
};

} // namespace ej::operator_api
