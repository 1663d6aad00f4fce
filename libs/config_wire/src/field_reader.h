#pragma once

#include "json.h"

#include <core/findings.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

namespace ej::config_wire {

/// Reads the fields of one JSON object and collects what is wrong with them under its place.
class field_reader {
public:
    field_reader(const json& object, std::string place, core::findings& faults);

    /// The text called `name`; a finding unless it is there.
    [[nodiscard]] std::string text(const std::string& name) const;

    /// The text called `name`, or `fallback` when it is left out.
    [[nodiscard]] std::string text(const std::string& name, std::string fallback) const;

    /// The number called `name`, 0 to `max`, or `fallback` when it is left out.
    [[nodiscard]] std::uint64_t
    number(const std::string& name, std::uint64_t fallback = 0,
           std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) const;

    /// The number of milliseconds called `name`, or `fallback` when it is left out.
    [[nodiscard]] std::chrono::milliseconds time(const std::string& name,
                                                 std::chrono::milliseconds fallback) const;

    /// The object or list called `name`; null when it is left out.
    [[nodiscard]] const json& child(const std::string& name) const;

    [[nodiscard]] bool has(const std::string& name) const;

    /// Where the field called `name` stands.
    [[nodiscard]] std::string place_of(const std::string& name) const;

    /// Adds a fault of the field called `name`.
    void fault(const std::string& name, std::string message) const;

    [[nodiscard]] core::findings& faults() const { return faults_; }

private:
    const json& object_;
    std::string place_;
    core::findings& faults_;
};

} // namespace ej::config_wire
