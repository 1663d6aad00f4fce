#include "entry_keeper.h"

#include "clock.h"
#include "entry_lease.h"

#include <logging/log.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

namespace ej::front {

namespace {

// While there are entries; also the pause after a failed call.
constexpr std::chrono::seconds check_interval{1};

// The store accepts this many entries in one call.
constexpr std::size_t max_changes = 32;

} // namespace

entry_keeper::entry_keeper(front_context& context, platform::store& store, kept_entries& entries,
                           asio::io_context& loop)
    : context_(context), store_(store), entries_(entries), timer_(loop)
{
}

void entry_keeper::wake()
{
    timer_.cancel();
}

void entry_keeper::resume()
{
    if (timer_.expiry() == core::instant::max()) {
        timer_.cancel();
    }
}

asio::awaitable<void> entry_keeper::run()
{
    for (;;) {
        auto due = entries_.due(max_changes);
        const bool changes_due = !due.empty();
        absl::Status status;
        if (changes_due) {
            status = co_await apply(std::move(due));
        }
        if (!status.ok()) {
            const std::string name(entries_.name());
            context_.metrics.count(name + "_unwritten_total", {});
            logging::log(logging::level::info, "entries not written",
                         {{"entries", name}, {"error", std::string(status.message())}});
        }
        else if (changes_due) {
            continue; // The state may have changed during the call.
        }
        timer_.expires_at(entries_.idle() ? core::instant::max() : now() + check_interval);
        error_code cancelled; // By `wake`.
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

asio::awaitable<absl::Status> entry_keeper::apply(std::vector<platform::store_write> due)
{
    if (std::ranges::any_of(due, [](const auto& one) { return one.value.has_value(); })) {
        const auto granted = co_await store_.grant_lease(entry_lease);
        if (!granted.ok()) {
            co_return granted.status();
        }
        for (platform::store_write& one : due) {
            if (one.value) {
                one.lease = granted->lease;
            }
        }
    }
    auto writes = due;
    const auto written = co_await store_.commit(std::move(writes));
    if (!written.ok()) {
        co_return written.status();
    }
    std::ranges::for_each(due, [this](const auto& one) { entries_.record(one); });
    co_return absl::OkStatus();
}

} // namespace ej::front
