#pragma once

#include <concurrency/sharded.h>
#include <core/service_id.h>

#include <cstddef>

namespace ej::overload {

/// Number of generations that wait at all lanes of a daemon, by service. Thread-safe.
class waiting_counts {
public:
    void add(const core::service_id& service);
    void remove(const core::service_id& service);
    [[nodiscard]] std::size_t of(const core::service_id& service);

private:
    concurrency::sharded<core::service_id, std::size_t> entries_;
};

} // namespace ej::overload
