#pragma once

#include <operator_api/daemon_status.h>

#include <config/change.h>
#include <config/configuration.h>
#include <config/submission_result.h>

#include <string>

namespace ej::operator_api {

/// The daemon as operators see it. Thread-safe; calls may block up to the time of a platform call.
class operator_backend {
public:
    operator_backend() = default;
    virtual ~operator_backend() = default;
    operator_backend(const operator_backend&) = delete;
    operator_backend& operator=(const operator_backend&) = delete;
    operator_backend(operator_backend&&) = delete;
    operator_backend& operator=(operator_backend&&) = delete;

    /// True while new work is taken.
    [[nodiscard]] virtual bool ready() = 0;

    [[nodiscard]] virtual daemon_status status() = 0;

    /// All metrics in Prometheus' text format.
    [[nodiscard]] virtual std::string metrics_text() = 0;

    /// The configuration in force here.
    [[nodiscard]] virtual config::configuration configuration_in_force() = 0;

    /// An id that no other change has.
    [[nodiscard]] virtual config::change_id new_change_id() = 0;

    /// Has `requested` accepted or says why not.
    [[nodiscard]] virtual config::submission_result submit(config::change requested) = 0;

    /// Writes the configuration in force here back to a platform that holds older data; false
    /// unless that is known to have taken effect.
    [[nodiscard]] virtual bool restore_platform() = 0;

    /// Takes no new work and ends once nothing is in flight.
    virtual void drain() = 0;
};

} // namespace ej::operator_api
