#pragma once

#include <overload/waiting_band.h>
#include <overload/waiting_generation.h>

#include <fairness/fair_queue.h>
#include <fairness/share_policy.h>

#include <core/instant.h>
#include <core/request_id.h>

#include <array>
#include <cstddef>
#include <memory>
#include <optional>

namespace ej::overload {

/// The generations that wait for engines of one service, by band. Not thread-safe.
class service_queue {
public:
    explicit service_queue(const std::shared_ptr<const fairness::share_policy>& order);

    void push(const waiting_generation& added, core::instant now);

    /// Removes a generation without charging its workspace.
    void remove(const core::request_id& id);

    /// The generation that gets the next free place; empty if none waits.
    [[nodiscard]] std::optional<core::request_id> next(core::instant now);

    /// Removes `id` and charges its workspace.
    void grant(const core::request_id& id);

    /// Removes the newest generation of the workspace that waits with most, late ones first.
    std::optional<core::request_id> take_newest();

    [[nodiscard]] std::size_t count() const;

private:
    fairness::fair_queue& band(waiting_band which)
    {
        return bands_.at(static_cast<std::size_t>(which));
    }
    void move_late(core::instant now);

    std::array<fairness::fair_queue, waiting_band_count> bands_;
};

} // namespace ej::overload
