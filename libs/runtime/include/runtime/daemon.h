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

    /// Stops the daemon immediately; requests in flight are abandoned.
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    daemon(daemon&&) = delete;
    daemon& operator=(daemon&&) = delete;

    /// The address for callers.
    [[nodiscard]] core::address caller_address() const;

    /// The address for operators.
    [[nodiscard]] core::address operator_address() const;

    /// The address for other daemons.
    [[nodiscard]] core::address peer_address() const;

    /// Refuses new requests and completes those in flight. May be called more than once.
    void drain();

    /// Blocks until `drain` was called and no request is in flight.
    void wait_until_drained();

private:
    explicit daemon(std::unique_ptr<daemon_parts> parts);

    std::unique_ptr<daemon_parts> parts_;
};

} // namespace ej::runtime
