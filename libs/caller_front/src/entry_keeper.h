#pragma once

#include "front_context.h"
#include "kept_entries.h"
#include "net.h"

#include <platform/store.h>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <vector>

namespace ej::front {

/// Writes the changes of `kept_entries` to the store. Used on the control loop.
class entry_keeper {
public:
    /// All arguments outlive the keeper.
    entry_keeper(front_context& context, platform::store& store, kept_entries& entries,
                 asio::io_context& loop);

    /// Brings the store in line with the entries for as long as the loop runs.
    boost::asio::awaitable<void> run();

    /// Reports that changes are due.
    void wake();

    /// Reports that changes may become due; they are made with the next check.
    void resume();

private:
    boost::asio::awaitable<absl::Status> apply(std::vector<platform::store_write> due);

    front_context& context_;
    platform::store& store_;
    kept_entries& entries_;
    asio::steady_timer timer_;
};

} // namespace ej::front
