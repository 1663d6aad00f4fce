#include "call_table.h"

#include <utility>

namespace ej::peer {

std::uint64_t call_table::add(const session::ptr& carrier, std::chrono::milliseconds timeout,
                              std::function<void(call_result)> done)
{
    const auto number = ++last_;
    auto deadline = std::make_unique<boost::asio::steady_timer>(context_, timeout);
    deadline->async_wait([this, number](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            finish(number, {call_status::timed_out, {}});
        }
    });
    carrier->calls.insert(number);
    calls_.emplace(number, call{std::move(done), std::move(deadline), carrier});
    return number;
}

void call_table::answer(const session::ptr& carrier, std::uint64_t number, std::string payload)
{
    const auto found = calls_.find(number);
    if (found != calls_.end() && found->second.carrier == carrier) {
        finish(number, {call_status::answered, std::move(payload)});
    }
}

void call_table::fail_all(const session::ptr& carrier)
{
    const auto status = carrier->authenticated ? call_status::lost : call_status::unreachable;
    const auto numbers = std::exchange(carrier->calls, {});
    for (const auto number : numbers) {
        finish(number, {status, {}});
    }
}

void call_table::finish(std::uint64_t number, call_result result)
{
    auto entry = calls_.extract(number);
    if (entry.empty()) {
        return;
    }
    entry.mapped().carrier->calls.erase(number);
    entry.mapped().done(std::move(result));
}

} // namespace ej::peer
