#pragma once

#include <concurrency/sharded.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace ej::stand_ins {

/// Named counters. Thread-safe.
class call_counts {
public:
    void add(const std::string& name, std::uint64_t count = 1);

    /// All counters as `{"<name>": count}`.
    [[nodiscard]] nlohmann::json to_json();

private:
    concurrency::sharded<std::string, std::uint64_t> counts_;
};

} // namespace ej::stand_ins
