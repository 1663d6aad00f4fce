#pragma once

#include "config_driver.h"
#include "config_store.h"
#include "submission_run.h"

#include <config/change.h>
#include <config/change_log_limits.h>
#include <config/log_compaction.h>
#include <config/submission_effect.h>
#include <config/submission_event.h>
#include <config/submission_result.h>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <memory>

namespace ej::runtime {

/// Submits configuration changes to the platform and compacts the configuration's log. Thread-safe.
class config_submitter {
public:
    /// `store` and `driver` outlive the submitter. `seed` randomizes the retry delays, so that
    /// submitters that conflict don't retry at the same time.
    config_submitter(config_store& store, config_driver& driver, config::change_log_limits limits,
                     std::uint64_t seed);

    /// Submits `wanted`; takes at most 10 s. An accepted change is in force at this daemon when
    /// this returns.
    boost::asio::awaitable<config::submission_result> submit(config::change wanted);

    /// Writes this daemon's configuration to a platform that holds an older one. Returns true if
    /// the write is known to have taken effect.
    boost::asio::awaitable<bool> restore();

private:
    boost::asio::awaitable<config::submission_result> drive(std::unique_ptr<submission_run> run);
    boost::asio::awaitable<config::submission_event>
    carry_out(const config::submission_effect& effect);
    boost::asio::awaitable<config::submission_event> write_log(config::write_change_log wanted);
    boost::asio::awaitable<config::submission_event> load_snapshot();
    boost::asio::awaitable<config::submission_event> read_log(core::duration delay);
    boost::asio::awaitable<bool> run_compaction(config::log_compaction decision);
    boost::asio::awaitable<void> compact(config::configuration seen,
                                         config::stored_change_log stored);

    config_store& store_;
    config_driver& driver_;
    config::change_log_limits limits_;
    std::atomic<std::uint64_t> next_seed_;
};

} // namespace ej::runtime
