#pragma once

#include <platform/call_counts.h>
#include <platform/client_settings.h>
#include <platform/granted_lease.h>
#include <platform/store_listing.h>
#include <platform/store_protocol.h>
#include <platform/store_write.h>

#include <http/client.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ej::platform {

/// Longest answer that is read: a page holds at most 1 MB of values, to which base64 adds a third.
inline constexpr std::size_t max_answer_bytes = std::size_t{4} << 20;

/// Lowest mean rate at which a listing or changes may arrive: the longest answer takes two minutes.
inline constexpr std::size_t min_answer_bytes_per_second = std::size_t{32} << 10;

/// Calls a key-value store through a `store_protocol`; never retries a call. Thread-safe.
/// Errors: those of `store_protocol` and of `http::client`. A commit without a usable answer may
/// have taken effect, or may still do so.
class store {
public:
    /// `transport` outlives the store.
    store(http::client& transport, client_settings settings,
          std::shared_ptr<const store_protocol> protocol);

    /// All keys that begin with `prefix`, page by page; `as_of` is that of the first page, so that
    /// `poll_changes` from there misses no change. Each page must begin `within` that time and then
    /// keep arriving.
    boost::asio::awaitable<absl::StatusOr<store_listing>> scan(std::string prefix,
                                                               core::duration within);

    /// The changes later than `after`; empty when there were none within `wait`. The answer must
    /// begin `within` that time beyond `wait` and then keep arriving.
    boost::asio::awaitable<absl::StatusOr<store_listing>>
    poll_changes(std::string prefix, core::revision after, std::chrono::milliseconds wait,
                 core::duration within);

    /// Asks over a new connection whether the store answers at all; `key` may be absent.
    boost::asio::awaitable<absl::Status> probe(std::string key, core::duration within);

    /// Applies all of `writes` or none.
    boost::asio::awaitable<absl::StatusOr<core::revision>> commit(std::vector<store_write> writes);

    boost::asio::awaitable<absl::StatusOr<granted_lease>>
    grant_lease(std::chrono::milliseconds time_to_live);

    boost::asio::awaitable<absl::Status> renew_lease(lease_id lease);

    [[nodiscard]] const call_counts& counts() const { return counts_; }

private:
    boost::asio::awaitable<absl::StatusOr<http::response>>
    call(call_kind kind, http::request outgoing, core::duration deadline,
         std::optional<http::body_pace> pace = std::nullopt, bool reuse_connection = true);

    http::client& transport_;
    client_settings settings_;
    std::shared_ptr<const store_protocol> protocol_;
    call_counts counts_;
};

} // namespace ej::platform
