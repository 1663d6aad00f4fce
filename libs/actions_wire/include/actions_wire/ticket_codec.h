#pragma once

#include <actions/ticket.h>
#include <seal/sealer.h>

#include <optional>
#include <string>
#include <string_view>

namespace ej::actions_wire {

/// Writes tickets as idempotency keys and reads them back. Immutable; thread-safe.
class ticket_codec {
public:
    explicit ticket_codec(const seal::secrets& keys);

    /// The key that stands for `value`; one key a ticket.
    [[nodiscard]] std::string seal(const actions::ticket& value) const;

    /// The ticket, or nothing when `key` is not one of this fleet.
    [[nodiscard]] std::optional<actions::ticket> open(std::string_view key) const;

private:
    seal::sealer sealer_;
};

} // namespace ej::actions_wire
