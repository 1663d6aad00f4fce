#pragma once

#include <runtime/daemon_settings.h>

#include <core/address.h>

#include <absl/status/statusor.h>

#include <memory>

namespace ej::runtime {

class daemon_parts;

/// One running daemon: its threads, servers and state.
class daemon {
public:
    /// Starts serving. Error: Unavailable when an address cannot be bound.
    static absl::StatusOr<std::unique_ptr<daemon>> start(daemon_settings settings);

    /// Ends at once what still runs.
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    daemon(daemon&&) = delete;
    daemon& operator=(daemon&&) = delete;

    /// Where callers connect.
    [[nodiscard]] core::address caller_address() const;

    /// Where operators connect.
    [[nodiscard]] core::address operator_address() const;

    /// Where other daemons connect.
    [[nodiscard]] core::address peer_address() const;

    /// Takes no new requests and goes on with those in flight. May be called again.
    void drain();

    /// Waits until `drain` was called and nothing is in flight.
    void wait_until_drained();

private:
    explicit daemon(std::unique_ptr<daemon_parts> parts);

    std::unique_ptr<daemon_parts> parts_;
};

} // namespace ej::runtime
