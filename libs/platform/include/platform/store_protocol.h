#pragma once

#include <platform/granted_lease.h>
#include <platform/lease_id.h>
#include <platform/store_listing.h>
#include <platform/store_write.h>

#include <http/request.h>
#include <http/response.h>

#include <core/revision.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <string>
#include <vector>

namespace ej::platform {

/// Encodes the calls to a key-value store and decodes its answers. Stateless and thread-safe.
/// Errors of the decoders: Internal for an answer that cannot be parsed, Unavailable for one that
/// states that nothing was done, and those named below.
class store_protocol {
public:
    store_protocol() = default;
    virtual ~store_protocol() = default;
    store_protocol(const store_protocol&) = delete;
    store_protocol& operator=(const store_protocol&) = delete;
    store_protocol(store_protocol&&) = delete;
    store_protocol& operator=(store_protocol&&) = delete;

    /// Lists the keys that begin with `prefix` and sort after the key `after`.
    [[nodiscard]] virtual http::request scan(const std::string& prefix,
                                             const std::string& after) const = 0;
    [[nodiscard]] virtual absl::StatusOr<store_listing>
    parse_page(const http::response& answer) const = 0;

    /// Reads the changes to such keys later than `after`; waits up to `wait` for the first one.
    [[nodiscard]] virtual http::request poll_changes(const std::string& prefix,
                                                     core::revision after,
                                                     std::chrono::milliseconds wait) const = 0;
    /// Error: OutOfRange when the store no longer has these changes.
    [[nodiscard]] virtual absl::StatusOr<store_listing>
    parse_changes(const http::response& answer) const = 0;

    /// The cheapest read of `key`, whose answer may be out of date.
    [[nodiscard]] virtual http::request probe(const std::string& key) const = 0;
    [[nodiscard]] virtual absl::Status parse_probe(const http::response& answer) const = 0;

    /// Applies all of `writes` or none; the answer holds their revision.
    [[nodiscard]] virtual http::request commit(const std::vector<store_write>& writes) const = 0;
    /// Errors: Aborted when a condition does not hold, NotFound when the lease has expired.
    [[nodiscard]] virtual absl::StatusOr<core::revision>
    parse_commit(const http::response& answer) const = 0;

    /// Grants a lease.
    [[nodiscard]] virtual http::request
    grant_lease(std::chrono::milliseconds time_to_live) const = 0;
    [[nodiscard]] virtual absl::StatusOr<granted_lease>
    parse_granted_lease(const http::response& answer) const = 0;

    /// Renews a lease.
    [[nodiscard]] virtual http::request renew_lease(const lease_id& lease) const = 0;
    /// Error: NotFound when the lease has expired.
    [[nodiscard]] virtual absl::Status parse_renewal(const http::response& answer) const = 0;
};

} // namespace ej::platform
