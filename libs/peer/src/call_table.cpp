#include "call_table.h"

#include <utility>

namespace ej::peer {

std::uint64_t call_table::add(const peer_session::ptr& session, std::chrono::milliseconds timeout,
                              std::function<void(call_result)> done)
{
    const auto number = ++last_number_;
    auto deadline = std::make_unique<boost::asio::steady_timer>(context_, timeout);
    deadline->async_wait([this, number](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            finish(number, {call_status::timed_out, {}});
        }
    });
    session->pending_calls.insert(number);
    calls_.emplace(number, pending_call{std::move(done), std::move(deadline), session});
    return number;
}

void call_table::answer(const peer_session::ptr& session, std::uint64_t number, std::string payload)
{
    const auto found = calls_.find(number);
    if (found != calls_.end() && found->second.session == session) {
        finish(number, {call_status::answered, std::move(payload)});
    }
}

void call_table::fail_all(const peer_session::ptr& session)
{
    const auto status = session->authenticated ? call_status::lost : call_status::unreachable;
    const auto numbers = std::exchange(session->pending_calls, {});
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
    entry.mapped().session->pending_calls.erase(number);
    entry.mapped().done(std::move(result));
}

} // namespace ej::peer
