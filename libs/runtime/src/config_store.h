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

/// The log and the snapshot of the configuration in the platform's service. Thread-safe.
/// Errors as of `platform::client`, and InvalidArgument for a value that can't be read.
class config_store {
public:
    /// `platform` outlives the store.
    explicit config_store(platform::client& platform) : platform_(platform) {}

    /// The log; empty with key revision 0 when absent.
    boost::asio::awaitable<absl::StatusOr<config::stored_tail>> read_tail();

    /// The log once its key's revision exceeds `after`; none if it did not within `wait`.
    boost::asio::awaitable<absl::StatusOr<std::optional<config::stored_tail>>>
    watch_tail(core::revision after, std::chrono::milliseconds wait);

    /// The snapshot; empty with key revision 0 when absent.
    boost::asio::awaitable<absl::StatusOr<config::stored_base>> read_base();

    boost::asio::awaitable<config::write_answered> write(config::write_tail wanted);
    boost::asio::awaitable<config::write_answered> write(config::write_base wanted);

private:
    platform::client& platform_;
};

} // namespace ej::runtime
