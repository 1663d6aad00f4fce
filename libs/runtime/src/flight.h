#pragma once

#include "flight_count.h"

#include <memory>

namespace ej::runtime {

/// One request in flight: counted from the start to the end of this object.
class flight {
public:
    /// Takes over a request that `count.enter()` has admitted.
    explicit flight(flight_count& count) : count_(count) {}
    ~flight() { count_.leave(); }
    flight(const flight&) = delete;
    flight& operator=(const flight&) = delete;
    flight(flight&&) = delete;
    flight& operator=(flight&&) = delete;

private:
    flight_count& count_;
};

} // namespace ej::runtime
