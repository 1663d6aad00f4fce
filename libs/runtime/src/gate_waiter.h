#pragma once

#include "admission_result.h"

#include <core/endpoint_id.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace ej::runtime {

/// One request that waits for its admission result. `wait` runs on the strand; `complete` on any
/// thread.
class gate_waiter : public std::enable_shared_from_this<gate_waiter> {
public:
    using unused_handler = std::function<void(const routing::endpoint_assignment&)>;

    /// `lost_at`: where earlier attempts of the request failed. `unused` is called with a placement
    /// that comes after the wait has ended.
    gate_waiter(boost::asio::any_io_executor strand, bool urgent,
                std::vector<core::endpoint_id> lost_at, unused_handler unused);

    /// Sets the result and ends the wait.
    void complete(admission_result entry);

    /// Waits for the result, at most until `until`; empty on timeout.
    boost::asio::awaitable<std::optional<admission_result>>
    wait(boost::asio::steady_timer::time_point until);

    /// Ends the wait: a later placement goes to the `unused` handler. Called on the strand.
    void end() { ended_ = true; }

    /// True if engines give the request priority over others.
    [[nodiscard]] bool urgent() const { return urgent_; }

    /// Where earlier attempts of the request failed.
    [[nodiscard]] const std::vector<core::endpoint_id>& lost_at() const { return lost_at_; }

private:
    void accept(const admission_result& entry);

    boost::asio::any_io_executor strand_;
    boost::asio::steady_timer timer_;
    bool urgent_;
    std::vector<core::endpoint_id> lost_at_;
    unused_handler unused_;
    std::optional<admission_result> entry_;
    bool ended_ = false;
};

} // namespace ej::runtime
