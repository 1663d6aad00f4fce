#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace ej::stand_ins {

/// The VM list, with its past versions so that a stale list can be returned. Thread-safe.
class vm_list {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Adds a VM or replaces the given fields of an existing one. Throws if "vm" is missing.
    void put(const nlohmann::json& entry, time_point now);

    void erase(const std::string& name, time_point now);

    /// The list at time `at`, as `{"vms": [...]}`.
    [[nodiscard]] nlohmann::json at(time_point at) const;

private:
    using entries = std::map<std::string, std::string>; // JSON text by VM name.

    void add_version(entries next, time_point now);

    mutable std::mutex mutex_;
    std::map<time_point, entries> versions_{{time_point{}, entries{}}};
};

} // namespace ej::stand_ins
