#pragma once

#include "config_driver.h"
#include "config_peers.h"
#include "config_store.h"
#include "config_submitter.h"
#include "daemon_context.h"

#include <config/follower_settings.h>
#include <platform/client.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>

namespace ej::runtime {

/// The configuration of one daemon: follows it, applies its classes to `daemon_context`, and
/// submits operators' changes. All members are thread-safe. Must outlive the executor's last task.
class config_service {
public:
    /// `seed` must differ between runs of a daemon. `peers` outlives the service.
    config_service(const boost::asio::any_io_executor& executor,
                   std::shared_ptr<daemon_context> shared, config_peers& peers,
                   const config::follower_settings& settings, std::uint64_t seed);

    /// Starts following the configuration; ends when the executor stops.
    void start() { driver_->start(); }

    [[nodiscard]] config_driver& driver() { return *driver_; }
    [[nodiscard]] std::shared_ptr<config_driver> shared_driver() const { return driver_; }
    [[nodiscard]] config_submitter& submitter() { return submitter_; }
    [[nodiscard]] const platform::client& calls() const { return calls_; }

private:
    std::shared_ptr<daemon_context> shared_;
    platform::client calls_;
    config_store store_;
    std::shared_ptr<config_driver> driver_;
    config_submitter submitter_;
};

} // namespace ej::runtime
