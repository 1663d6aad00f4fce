#pragma once

#include <overload/service_usage.h>

#include <forwarding/call_size.h>
#include <forwarding/engine_profile.h>

#include <cstdint>

namespace ej::overload {

/// Tokens that a generation is expected to hold in its engine's memory at its end: its prompt and
/// the usual part of its declared output. Never more than the engine has. A generation without a
/// declared size counts as an equal part of the memory for each slot.
[[nodiscard]] std::uint64_t memory_need(const forwarding::call_size& declared,
                                        const service_usage& usage,
                                        const forwarding::engine_profile& engine);

} // namespace ej::overload
