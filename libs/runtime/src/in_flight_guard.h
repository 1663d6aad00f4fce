#pragma once

#include "in_flight_counter.h"

#include <memory>

namespace ej::runtime {

/// Counts one request as in flight for the lifetime of this object.
class in_flight_guard {
public:
    /// Takes over the count of a request for which `count.enter()` returned true.
    explicit in_flight_guard(in_flight_counter& count) : count_(count) {}
    ~in_flight_guard() { count_.leave(); }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;
    in_flight_guard(in_flight_guard&&) = delete;
    in_flight_guard& operator=(in_flight_guard&&) = delete;

private:
    in_flight_counter& count_;
};

} // namespace ej::runtime
