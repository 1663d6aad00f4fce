#pragma once

#include <config/stored_change_log.h>
#include <config/stored_snapshot.h>
#include <config/watch_answered.h>
#include <config/write_answered.h>
#include <config/write_change_log.h>
#include <config/write_snapshot.h>
#include <platform/client.h>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>

namespace ej::runtime {

/// Reads and writes the configuration's log and snapshot in the platform's key-value service.
/// Thread-safe. Errors: as `platform::client`, and InvalidArgument for a malformed value.
class config_store {
public:
    /// `platform` outlives the store.
    explicit config_store(platform::client& platform) : platform_(platform) {}

    /// Reads the log; empty with key revision 0 if the key is absent.
    boost::asio::awaitable<absl::StatusOr<config::stored_change_log>> read_change_log();

    /// Waits until the revision of the log's key exceeds `after` and returns the log; empty after
    /// `wait`.
    boost::asio::awaitable<absl::StatusOr<std::optional<config::stored_change_log>>>
    watch_change_log(core::revision after, std::chrono::milliseconds wait);

    /// Reads the snapshot; empty with key revision 0 if the key is absent.
    boost::asio::awaitable<absl::StatusOr<config::stored_snapshot>> read_snapshot();

    boost::asio::awaitable<config::write_answered> write(config::write_change_log wanted);
    boost::asio::awaitable<config::write_answered> write(config::write_snapshot wanted);

private:
    platform::client& platform_;
};

} // namespace ej::runtime
