#pragma once

#include "json.h"

#include <core/findings.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

namespace ej::config_wire {

/// Reads the fields of one JSON object and collects their faults, each with its place in the
/// document.
class field_reader {
public:
    field_reader(const json& object, std::string place, core::findings& faults);

    /// The string field `name`; a fault when it is missing.
    [[nodiscard]] std::string text(const std::string& name) const;

    /// The string field `name`, or `fallback` when it is missing or null.
    [[nodiscard]] std::string text(const std::string& name, std::string fallback) const;

    /// The number field `name`, 0 to `max`, or `fallback` when it is missing or null.
    [[nodiscard]] std::uint64_t
    number(const std::string& name, std::uint64_t fallback = 0,
           std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) const;

    /// The field `name` in milliseconds, 0 to 24 hours, or `fallback` when it is missing or null.
    [[nodiscard]] std::chrono::milliseconds time(const std::string& name,
                                                 std::chrono::milliseconds fallback) const;

    /// The value of the field `name`; null when it is missing.
    [[nodiscard]] const json& child(const std::string& name) const;

    [[nodiscard]] bool has(const std::string& name) const;

    /// The place of the field `name` in the document, for faults.
    [[nodiscard]] std::string place_of(const std::string& name) const;

    /// Adds a fault for the field `name`.
    void fault(const std::string& name, std::string message) const;

    [[nodiscard]] core::findings& faults() const { return faults_; }

private:
    const json& object_;
    std::string place_;
    core::findings& faults_;
};

} // namespace ej::config_wire
