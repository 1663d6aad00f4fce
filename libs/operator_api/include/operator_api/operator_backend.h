#pragma once

#include <operator_api/daemon_status.h>

#include <config/change.h>
#include <config/configuration.h>
#include <config/submission_result.h>

#include <string>

namespace ej::operator_api {

/// The daemon functions behind the operator interface. Thread-safe; a call may block for as long as
/// a platform call.
class operator_backend {
public:
    operator_backend() = default;
    virtual ~operator_backend() = default;
    operator_backend(const operator_backend&) = delete;
    operator_backend& operator=(const operator_backend&) = delete;
    operator_backend(operator_backend&&) = delete;
    operator_backend& operator=(operator_backend&&) = delete;

    /// True while the daemon accepts new work.
    [[nodiscard]] virtual bool ready() = 0;

    [[nodiscard]] virtual daemon_status status() = 0;

    /// All metrics in the Prometheus text format.
    [[nodiscard]] virtual std::string metrics_text() = 0;

    /// The configuration in force at this daemon.
    [[nodiscard]] virtual config::configuration configuration_in_force() = 0;

    /// A unique change id.
    [[nodiscard]] virtual config::change_id new_change_id() = 0;

    /// Submits the change `requested`; the result tells whether it was accepted, and if not, why.
    [[nodiscard]] virtual config::submission_result submit(config::change requested) = 0;

    /// Writes the configuration in force at this daemon back to a platform that holds older data.
    /// Returns true only if the write is known to have taken effect.
    [[nodiscard]] virtual bool restore_platform() = 0;

    /// Stops accepting new work; the daemon exits once nothing is in flight.
    virtual void drain() = 0;
};

} // namespace ej::operator_api
