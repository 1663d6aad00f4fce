#include "held_part_keeper.h"

#include "clock.h"

#include <logging/log.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace ej::front {

namespace {

// While parts are held back; also the pause after a failed call.
constexpr std::chrono::seconds check_interval{1};

// The longest lease of the store. Entries are written again after half of it.
constexpr std::chrono::milliseconds lease_time{std::chrono::minutes(10)};

// The store accepts this many entries in one call.
constexpr std::size_t max_changes = 32;

} // namespace

held_part_keeper::held_part_keeper(front_context& context, platform::store& store,
                                   const store_layout& layout, asio::io_context& loop)
    : context_(context), store_(store), layout_(layout), timer_(loop)
{
}

void held_part_keeper::wake()
{
    timer_.cancel();
}

asio::awaitable<void> held_part_keeper::run()
{
    for (;;) {
        auto due = due_changes();
        const bool changes_due = !due.empty();
        absl::Status status;
        if (changes_due) {
            status = co_await apply(std::move(due));
        }
        if (!status.ok()) {
            context_.metrics.count("held_parts_unwritten_total", {});
            logging::log(logging::level::info, "held parts not written",
                         {{"error", std::string(status.message())}});
        }
        else if (changes_due) {
            continue; // The state may have changed during the call.
        }
        const bool idle = context_.parts.held().empty() && context_.holds_in_store.empty();
        timer_.expires_at(idle ? core::instant::max() : now() + check_interval);
        error_code cancelled; // By `wake`.
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

held_part_keeper::changes held_part_keeper::due_changes() const
{
    changes due;
    const auto add = [&](suspects::part_digest part, std::optional<std::uint32_t> trials) {
        if (due.size() < max_changes && context_.parts.owns(part)) {
            due.emplace(part, trials);
        }
    };
    const auto held = context_.parts.held();
    for (const suspects::held_part& one : held) {
        const auto stored = context_.holds_in_store.find(one.part);
        if (stored == context_.holds_in_store.end() || stored->second.trials < one.trials ||
            stored->second.seen + lease_time / 2 < now()) {
            add(one.part, one.trials);
        }
    }
    for (const auto& [part, stored] : context_.holds_in_store) {
        if (!context_.parts.holds_any(std::span(&part, 1))) {
            add(part, std::nullopt);
        }
    }
    return due;
}

asio::awaitable<absl::Status> held_part_keeper::apply(changes due)
{
    platform::lease_id lease;
    if (std::ranges::any_of(due, [](const auto& entry) { return entry.second.has_value(); })) {
        const auto granted = co_await store_.grant_lease(lease_time);
        if (!granted.ok()) {
            co_return granted.status();
        }
        lease = granted->lease;
    }
    std::vector<platform::store_write> writes;
    for (const auto& [part, trials] : due) {
        auto key = layout_.held_part_key(part);
        if (trials) {
            writes.push_back({std::move(key), stored_hold_text(*trials), lease, {}});
        }
        else {
            writes.push_back({std::move(key), std::nullopt, {}, {}});
        }
    }
    const auto written = co_await store_.commit(std::move(writes));
    if (!written.ok()) {
        co_return written.status();
    }
    for (const auto& [part, trials] : due) {
        if (trials) {
            context_.holds_in_store[part] = {*trials, now()};
        }
        else {
            context_.holds_in_store.erase(part);
        }
    }
    co_return absl::OkStatus();
}

} // namespace ej::front
