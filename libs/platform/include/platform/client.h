#pragma once

#include <platform/call_counts.h>
#include <platform/cas_result.h>
#include <platform/client_settings.h>
#include <platform/kv_entry.h>
#include <platform/lease_id.h>
#include <platform/named_entry.h>
#include <platform/vm_record.h>

#include <http/client.h>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace ej::platform {

/// Calls the platform's key-value service and VM list; never retries a call. Thread-safe.
/// Errors of reads: Unavailable, Aborted and DeadlineExceeded as in `http::client`, Internal for an
/// answer that cannot be parsed or has an unexpected status.
class client {
public:
    /// `transport` outlives the client.
    client(http::client& transport, client_settings settings);

    /// The entry of `key`.
    boost::asio::awaitable<absl::StatusOr<kv_entry>> read(std::string key);

    /// The entry of `key` once its revision exceeds `after`; nullopt if it does not within `wait`.
    boost::asio::awaitable<absl::StatusOr<std::optional<kv_entry>>>
    watch(std::string key, core::revision after, std::chrono::milliseconds wait);

    /// Writes `value` if the key has revision `if_revision` (0: absent), under `lease` unless it is
    /// empty.
    boost::asio::awaitable<cas_result> compare_and_swap(std::string key, std::string value,
                                                        core::revision if_revision,
                                                        lease_id lease = {});

    /// Deletes `key` if it has revision `if_revision`.
    boost::asio::awaitable<cas_result> remove(std::string key, core::revision if_revision);

    /// All entries whose keys begin with `prefix`.
    boost::asio::awaitable<absl::StatusOr<std::vector<named_entry>>> list(std::string prefix);

    /// Grants a lease that expires after `time_to_live` without `keep_alive`.
    boost::asio::awaitable<absl::StatusOr<lease_id>>
    grant_lease(std::chrono::milliseconds time_to_live);

    /// Renews `lease`; false when it has expired. The time to live counts from before the call.
    boost::asio::awaitable<absl::StatusOr<bool>> keep_alive(lease_id lease);

    /// The list of VMs, which may lag behind.
    boost::asio::awaitable<absl::StatusOr<std::vector<vm_record>>> vms();

    [[nodiscard]] const call_counts& counts() const { return counts_; }

private:
    boost::asio::awaitable<absl::StatusOr<http::response>>
    call(call_kind kind, http::request outgoing, core::duration deadline);
    boost::asio::awaitable<cas_result> send_conditional_write(http::request outgoing);

    http::client& transport_;
    client_settings settings_;
    call_counts counts_;
};

} // namespace ej::platform
