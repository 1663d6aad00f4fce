#pragma once

#include <forwarding/call_size.h>
#include <forwarding/candidate.h>
#include <forwarding/engine_profile.h>

#include <core/instant.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace ej::forwarding {

/// Chooses an endpoint for a request. Stateless and thread-safe.
class endpoint_choice {
public:
    endpoint_choice() = default;
    virtual ~endpoint_choice() = default;
    endpoint_choice(const endpoint_choice&) = delete;
    endpoint_choice& operator=(const endpoint_choice&) = delete;
    endpoint_choice(endpoint_choice&&) = delete;
    endpoint_choice& operator=(endpoint_choice&&) = delete;

    /// Index of the chosen candidate; empty only if no candidate accepts requests. `turn`
    /// rotates the choice among equally good candidates.
    [[nodiscard]] virtual std::optional<std::size_t> choose(std::span<const candidate> from,
                                                            const call_size& size,
                                                            std::uint64_t turn,
                                                            core::instant now) const = 0;
};

/// The strategy named `name`: "round_robin", "fewest_requests" or "first_output"; null if unknown.
[[nodiscard]] std::unique_ptr<const endpoint_choice> make_choice(std::string_view name);

} // namespace ej::forwarding
