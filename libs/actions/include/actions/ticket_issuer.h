#pragma once

#include <actions/ticket.h>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace ej::actions {

/// Issues the tickets of one daemon incarnation. Thread-safe.
class ticket_issuer {
public:
    /// `self` is the issuer of all tickets; each is valid for `lifetime`, > 0.
    ticket_issuer(owner self, std::chrono::milliseconds lifetime);

    /// Issues a ticket for one action. `since_start` is the age of this incarnation on the
    /// monotonic clock.
    [[nodiscard]] ticket issue(core::workspace_id workspace, core::class_id work,
                               std::chrono::milliseconds since_start);

    /// True if this incarnation issued `candidate`.
    [[nodiscard]] bool issued(const ticket& candidate) const;

private:
    owner self_;
    std::chrono::milliseconds lifetime_;
    std::atomic<std::uint64_t> last_{0};
};

} // namespace ej::actions
