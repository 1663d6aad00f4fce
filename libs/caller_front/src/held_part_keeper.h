#pragma once

#include "front_context.h"
#include "net.h"

#include <caller_front/store_layout.h>

#include <platform/store.h>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace ej::front {

/// Keeps an entry in the store for each held part that this daemon owns, so that the hold survives
/// the loss of all daemons. Used on the control loop.
class held_part_keeper {
public:
    /// All arguments outlive the keeper.
    held_part_keeper(front_context& context, platform::store& store, const store_layout& layout,
                     asio::io_context& loop);

    /// Brings the entries in line with the parts that are held back, for as long as the loop runs.
    boost::asio::awaitable<void> run();

    /// Reports that held parts or entries have changed.
    void wake();

private:
    /// By part; no value: the entry is to be removed.
    using changes = std::map<suspects::part_digest, std::optional<std::uint32_t>>;

    [[nodiscard]] changes due_changes() const;
    boost::asio::awaitable<absl::Status> apply(changes due);

    front_context& context_;
    platform::store& store_;
    const store_layout& layout_;
    asio::steady_timer timer_;
};

} // namespace ej::front
