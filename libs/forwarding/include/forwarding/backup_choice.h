#pragma once

#include <forwarding/candidate.h>

#include <core/instant.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace ej::forwarding {

/// Index of the engine that keeps a copy of the memory of a request that runs at `runner`. Prefers
/// an engine in another failure domain, so that one failure does not lose both; otherwise any other
/// engine. Empty if no other candidate accepts requests.
[[nodiscard]] std::optional<std::size_t> choose_backup(std::span<const candidate> from,
                                                       const core::endpoint& runner,
                                                       std::uint64_t turn, core::instant now);

} // namespace ej::forwarding
