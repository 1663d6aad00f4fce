#include <runtime/daemon.h>

#include "daemon_parts.h"

#include <stdexcept>
#include <utility>

namespace ej::runtime {

daemon::daemon(std::unique_ptr<daemon_parts> parts) : parts_(std::move(parts)) {}

daemon::~daemon() = default;

absl::StatusOr<std::unique_ptr<daemon>> daemon::start(daemon_settings settings)
{
    try {
        auto parts = std::make_unique<daemon_parts>(std::move(settings));
        auto started = parts->start();
        if (!started.ok()) {
            return started;
        }
        return std::unique_ptr<daemon>(new daemon(std::move(parts)));
    }
    catch (const std::runtime_error& error) {
        return absl::UnavailableError(error.what());
    }
}

core::address daemon::caller_address() const
{
    return parts_->caller_address();
}

core::address daemon::operator_address() const
{
    return parts_->operator_address();
}

core::address daemon::peer_address() const
{
    return parts_->members().address();
}

void daemon::drain()
{
    parts_->members().drain();
    parts_->shared().in_flight_requests.drain();
}

void daemon::wait_until_drained()
{
    parts_->shared().in_flight_requests.wait_until_empty();
}

} // namespace ej::runtime
