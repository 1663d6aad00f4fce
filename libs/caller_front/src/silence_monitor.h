#pragma once

#include "lazy_timer.h"
#include "liveness_check.h"
#include "upstream_pool.h"

#include <forwarding/silence_bounds.h>

#include <core/address.h>
#include <core/instant.h>

#include <functional>
#include <memory>
#include <string>

namespace ej::front {

/// Watches over an engine that is to send: after a while of silence a new connection shows whether
/// it is still there; after the longest accepted silence it is given up. Used on one lane.
class silence_monitor : public std::enable_shared_from_this<silence_monitor> {
public:
    using lost_callback = std::function<void(const std::string& detail)>;

    /// `pool` outlives the watch. `on_lost` is called when the engine is to be given up.
    silence_monitor(upstream_pool& pool, lost_callback on_lost);

    /// Begins to watch the engine at `where`.
    void begin(core::address where, const forwarding::silence_bounds& bounds);

    /// The engine sent something; from now on other bounds hold.
    void note_output(const forwarding::silence_bounds& bounds);

    /// Ends the watch until it begins anew.
    void stop();

    /// Since when the engine is silent.
    [[nodiscard]] core::instant last_output() const { return last_output_; }

private:
    void check_silence();

    upstream_pool& pool_;
    lost_callback on_lost_;
    core::address where_;
    forwarding::silence_bounds bounds_;
    core::instant last_output_{};
    std::shared_ptr<lazy_timer> timer_;
    std::shared_ptr<liveness_check> check_;
};

} // namespace ej::front
