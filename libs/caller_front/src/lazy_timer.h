#pragma once

#include "net.h"

#include <core/instant.h>

#include <functional>
#include <memory>
#include <optional>

namespace ej::front {

/// A timer whose deadline moves often. Moving it later costs no system call: the timer fires at the
/// old deadline and is then armed for the new one. Input that arrived before the timer ran is
/// handled before its action. Used on one lane.
class lazy_timer : public std::enable_shared_from_this<lazy_timer> {
public:
    /// `action` is called on the lane when the deadline has passed.
    lazy_timer(asio::io_context& lane, std::function<void()> action);

    /// Sets the deadline.
    void set(core::instant deadline);

    /// Drops the deadline.
    void clear() { deadline_.reset(); }

    /// Drops the deadline and the action for good.
    void stop();

private:
    void arm(core::instant expiry);
    void fired();

    asio::steady_timer timer_;
    std::function<void()> action_;
    std::optional<core::instant> deadline_;
    std::optional<core::instant> armed_; // Expiry of the wait that is pending.
    bool input_polled_ = false;          // The lane has polled its input since the deadline.
};

} // namespace ej::front
