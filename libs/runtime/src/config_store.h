#pragma once

#include <config/stored_base.h>
#include <config/stored_tail.h>
#include <config/watch_answered.h>
#include <config/write_answered.h>
#include <config/write_base.h>
#include <config/write_tail.h>
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
    boost::asio::awaitable<absl::StatusOr<config::stored_tail>> read_tail();

    /// Waits until the revision of the log's key exceeds `after` and returns the log; empty after
    /// `wait`.
    boost::asio::awaitable<absl::StatusOr<std::optional<config::stored_tail>>>
    watch_tail(core::revision after, std::chrono::milliseconds wait);

    /// Reads the snapshot; empty with key revision 0 if the key is absent.
    boost::asio::awaitable<absl::StatusOr<config::stored_base>> read_base();

    boost::asio::awaitable<config::write_answered> write(config::write_tail wanted);
    boost::asio::awaitable<config::write_answered> write(config::write_base wanted);

private:
    platform::client& platform_;
};

} // namespace ej::runtime
