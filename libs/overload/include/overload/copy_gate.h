#pragma once

#include <forwarding/candidate.h>
#include <forwarding/engine_profile.h>

#include <atomic>
#include <cstdint>
#include <span>

namespace ej::overload {

/// Decides whether engines may keep copies of running generations: optional work, which yields to
/// generations when their memory becomes scarce. Thread-safe.
class copy_gate {
public:
    /// Updates the gate with the memory held at `engines`; true if copies may be asked for.
    bool admits(std::span<const forwarding::candidate> engines,
                const forwarding::engine_profile& profile);

    /// True if a copy of `memory` tokens at `engine` leaves room for generations there.
    [[nodiscard]] static bool has_room(const forwarding::candidate& engine, std::uint64_t memory,
                                       const forwarding::engine_profile& profile);

    /// True if the engines hold so much that a place has to be looked for: then each daemon needs
    /// the latest load of all engines.
    [[nodiscard]] bool places_are_scarce() const { return held_part_ > scarce_above; }

private:
    static constexpr double scarce_above = 0.5;

    std::atomic<bool> open_{true};
    std::atomic<double> held_part_{0}; // Of all engines' memory, at the last update.
};

} // namespace ej::overload
