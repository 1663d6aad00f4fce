#pragma once

#include <actions/action_outcome.h>
#include <core/instant.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace ej::runtime {

/// Passes an outcome to a coroutine that waits for it. All members but `complete` are used on the
/// coroutine's strand.
class outcome_slot {
public:
    explicit outcome_slot(const boost::asio::any_io_executor& strand)
        : strand_(strand), timer_(strand)
    {
    }

    /// Creates a slot on the strand of the awaiting coroutine.
    static boost::asio::awaitable<std::shared_ptr<outcome_slot>> on_this_strand();

    /// Sets the outcome; may be called on any thread.
    static void complete(std::shared_ptr<outcome_slot> slot, actions::action_outcome outcome);

    /// Waits until the outcome is set, at most until `deadline`.
    boost::asio::awaitable<void> wait_until(core::instant deadline);

    /// The outcome; empty until it is set.
    [[nodiscard]] const std::optional<actions::action_outcome>& received_outcome() const
    {
        return received_outcome_;
    }

private:
    boost::asio::any_io_executor strand_;
    boost::asio::steady_timer timer_;
    std::optional<actions::action_outcome> received_outcome_;
};

} // namespace ej::runtime
