#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace ej::stand_ins {

/// The VMs that were entered, shown as of some time ago. Thread-safe.
class vm_list {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Enters a VM or replaces the fields that `entry` names. Throws when "vm" is missing.
    void put(const nlohmann::json& entry, time_point now);

    void erase(const std::string& name, time_point now);

    /// `{"vms": [...]}` as it stood at `at`.
    [[nodiscard]] nlohmann::json at(time_point at) const;

private:
    using entries = std::map<std::string, std::string>; // JSON text by VM.

    void add_version(entries next, time_point now);

    mutable std::mutex mutex_;
    std::map<time_point, entries> versions_{{time_point{}, entries{}}};
};

} // namespace ej::stand_ins
