#pragma once

#include "admission_result.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace ej::runtime {

/// One request that waits for its entry. `wait` runs on the strand; `complete` on any thread.
class gate_waiter : public std::enable_shared_from_this<gate_waiter> {
public:
    using unused_handler = std::function<void(const routing::placement&)>;

    /// `unused` takes back a placement that came after the wait had ended.
    gate_waiter(boost::asio::any_io_executor strand, bool urgent, unused_handler unused);

    /// Hands in the entry.
    void complete(admission_result entry);

    /// Waits for the entry, at most until `until`; empty if it did not come.
    boost::asio::awaitable<std::optional<admission_result>>
    wait(boost::asio::steady_timer::time_point until);

    /// Ends the wait: a later placement goes to the handler. Called on the strand.
    void end() { ended_ = true; }

    /// True if engines run the request before others.
    [[nodiscard]] bool urgent() const { return urgent_; }

private:
    void accept(const admission_result& entry);

    boost::asio::any_io_executor strand_;
    boost::asio::steady_timer timer_;
    bool urgent_;
    unused_handler unused_;
    std::optional<admission_result> entry_;
    bool ended_ = false;
};

} // namespace ej::runtime
