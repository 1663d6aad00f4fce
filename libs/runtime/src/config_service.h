#pragma once

#include "config_driver.h"
#include "config_peers.h"
#include "config_store.h"
#include "config_submitter.h"
#include "services.h"

#include <config/follower_settings.h>
#include <platform/client.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>

namespace ej::runtime {

/// The configuration at one daemon: follows it, puts its classes in force in `services`, and takes
/// operators' changes. Each member is thread-safe; outlives the executor's last work.
class config_service {
public:
    /// `seed` differs from one run of a daemon to the next. `peers` outlives the service.
    config_service(const boost::asio::any_io_executor& executor, std::shared_ptr<services> shared,
                   config_peers& peers, const config::follower_settings& settings,
                   std::uint64_t seed);

    /// Begins to follow, until the executor stops.
    void start() { driver_->start(); }

    [[nodiscard]] config_driver& driver() { return *driver_; }
    [[nodiscard]] std::shared_ptr<config_driver> shared_driver() const { return driver_; }
    [[nodiscard]] config_submitter& submitter() { return submitter_; }
    [[nodiscard]] const platform::client& calls() const { return calls_; }

private:
    std::shared_ptr<services> shared_;
    platform::client calls_;
    config_store store_;
    std::shared_ptr<config_driver> driver_;
    config_submitter submitter_;
};

} // namespace ej::runtime
