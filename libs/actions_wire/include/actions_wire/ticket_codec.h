#pragma once

#include <actions/ticket.h>
#include <seal/sealer.h>

#include <optional>
#include <string>
#include <string_view>

namespace ej::actions_wire {

/// Encodes tickets as sealed idempotency keys and decodes them. Immutable; thread-safe.
class ticket_codec {
public:
    explicit ticket_codec(const seal::secrets& keys);

    /// The idempotency key for `value`. Each ticket has exactly one key.
    [[nodiscard]] std::string seal(const actions::ticket& value) const;

    /// The ticket, or nullopt when `key` is not a ticket sealed by this fleet.
    [[nodiscard]] std::optional<actions::ticket> open(std::string_view key) const;

private:
    seal::sealer sealer_;
};

} // namespace ej::actions_wire
