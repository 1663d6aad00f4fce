#include "asio.h"

#include "engine_connection.h"

#include <wire/engine_line.h>
#include <wire/generation_status.h>

#include <algorithm>
#include <utility>

namespace ej::runtime {

namespace {

using generation::event;
using generation::event_kind;

constexpr core::duration connect_timeout = std::chrono::milliseconds(300);
constexpr core::duration cancel_deadline = std::chrono::seconds(2);
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

http::request post(std::string target, std::string body)
{
    return {"POST", std::move(target), {{"Content-Type", "application/json"}}, std::move(body)};
}

http::call_options bounded(core::duration bound)
{
    http::call_options options;
    options.deadline = bound;
    options.connect_timeout = std::min(bound, connect_timeout);
    return options;
}

event_kind kind_of(const absl::Status& error)
{
    return absl::IsDeadlineExceeded(error) ? event_kind::silent : event_kind::closed;
}

} // namespace

// If the connection failed or the status was not 200, the engine does not run the attempt.
std::optional<event_kind> failure_of(const absl::Status& opened)
{
    if (opened.ok()) {
        return std::nullopt;
    }
    const bool did_not_run = absl::IsUnavailable(opened) || absl::IsFailedPrecondition(opened) ||
                             absl::IsNotFound(opened);
    return did_not_run ? event_kind::rejected : event_kind::closed;
}

asio::awaitable<absl::Status>
engine_connection::open(core::endpoint engine, wire::engine_request order, core::duration bound)
{
    auto body = wire::to_json(order);
    co_return co_await connect(std::move(engine), "/generate", std::move(body), bound);
}

asio::awaitable<absl::Status> engine_connection::attach(core::endpoint engine,
                                                        wire::engine_position position,
                                                        core::duration bound)
{
    auto body = wire::to_json(position);
    co_return co_await connect(std::move(engine), "/attach", std::move(body), bound);
}

asio::awaitable<absl::Status> engine_connection::connect(core::endpoint engine, std::string target,
                                                         std::string body, core::duration bound)
{
    auto call = post(std::move(target), std::move(body));
    const auto options = bounded(bound);
    auto opened = co_await http::line_stream::open(engine.where, std::move(call), options);
    if (!opened.ok()) {
        co_return opened.status();
    }
    stream_ = std::move(opened).value();
    co_return absl::OkStatus();
}

asio::awaitable<event> engine_connection::next(core::attempt_number attempt, core::duration silence)
{
    event ended;
    ended.kind = event_kind::closed;
    ended.attempt = attempt;
    const auto stream = stream_;
    if (stream == nullptr) {
        co_return ended;
    }
    auto line = co_await stream->next_line(silence);
    if (!line.ok()) {
        ended.kind = kind_of(line.status());
        co_return ended;
    }
    if (!line->has_value()) {
        co_return ended;
    }
    auto parsed = wire::parse_engine_line(**line, attempt);
    if (!parsed.ok()) {
        ended.kind = event_kind::aborted;
        co_return ended;
    }
    co_return std::move(parsed).value();
}

asio::awaitable<event> engine_connection::check(core::endpoint engine,
                                                wire::engine_position position,
                                                core::duration bound)
{
    http::request question;
    question.target =
        "/generations/" + position.request.text() + "/" + std::to_string(position.attempt.value());
    auto options = bounded(bound);
    options.reuse_connection = false;
    auto answer = co_await calls_->fetch(engine.where, std::move(question), options);
    event what;
    what.attempt = position.attempt;
    what.kind = event_kind::unreachable;
    if (answer.ok() && answer->status == status_not_found) {
        what.kind = event_kind::attempt_not_found;
    }
    if (answer.ok() && answer->status == status_ok) {
        what.kind = event_kind::alive;
        what.offset = wire::parse_generation_status(answer->body);
    }
    co_return what;
}

asio::awaitable<void> engine_connection::cancel(core::endpoint engine,
                                                wire::engine_position position)
{
    auto body = wire::to_json(position);
    auto call = post("/cancel", std::move(body));
    const auto options = bounded(cancel_deadline);
    co_await calls_->fetch(engine.where, std::move(call), options);
}

void engine_connection::close()
{
    if (stream_ != nullptr) {
        stream_->close();
        stream_ = nullptr;
    }
}

} // namespace ej::runtime
