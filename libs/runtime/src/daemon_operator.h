#pragma once

#include "config_service.h"
#include "daemon_context.h"

#include <operator_api/operator_backend.h>

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <cstdint>
#include <memory>

namespace ej::runtime {

/// The daemon's back end of the operator API. Some calls block until the executor's threads have
/// done the work, so they must not be made on those threads.
class daemon_operator : public operator_api::operator_backend {
public:
    /// `config` outlives this; `seed` must differ between runs of a daemon.
    daemon_operator(boost::asio::any_io_executor executor, std::shared_ptr<daemon_context> shared,
                    config_service& config, std::uint64_t seed);

    [[nodiscard]] bool ready() override;
    [[nodiscard]] operator_api::daemon_status status() override;
    [[nodiscard]] std::string metrics_text() override;
    [[nodiscard]] config::configuration configuration_in_force() override;
    [[nodiscard]] config::change_id new_change_id() override;
    [[nodiscard]] config::submission_result submit(config::change wanted) override;
    [[nodiscard]] bool restore_platform() override;
    void drain() override;

private:
    boost::asio::any_io_executor executor_;
    std::shared_ptr<daemon_context> shared_;
    config_service& config_;
    std::uint64_t seed_;
    std::atomic<std::uint64_t> changes_ = 0;
};

} // namespace ej::runtime
