#include "caller_connection.h"

#include "call_gate.h"
#include "call_log.h"
#include "own_answer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace ej::front {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t read_bytes = 8'192;
// Requests that a caller may send ahead of the answer to the current one.
constexpr std::size_t max_read_ahead = std::size_t{64} << 10;
// Output that waits for a caller that does not read; its streams would grow without bound.
constexpr std::size_t max_unsent = std::size_t{4} << 20;
// For a caller that does not read at all.
constexpr seconds write_timeout{15};
// Bounds of what is read and dropped behind a refusal, so that the caller gets to read it.
constexpr std::size_t max_lingered = std::size_t{64} << 20;
constexpr seconds linger_timeout{3};
constexpr unsigned http_1_1 = 11;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;

core::instant now()
{
    return core::instant::clock::now();
}

std::string reason_phrase(unsigned status)
{
    const auto phrase = wire::obsolete_reason(static_cast<wire::status>(status));
    return {phrase.data(), phrase.size()};
}

std::string head_text(const http::response& answer)
{
    std::string text =
        absl::StrCat("HTTP/1.1 ", answer.status, " ", reason_phrase(answer.status), "\r\n");
    for (const http::header& field : answer.headers) {
        absl::StrAppend(&text, field.name, ": ", field.value, "\r\n");
    }
    return text;
}

} // namespace

caller_connection::caller_connection(tcp::socket socket, front_context& context,
                                     upstream_pool& pool)
    : socket_(std::move(socket)), context_(context), pool_(pool)
{
    ++context_.callers_open;
}

caller_connection::~caller_connection()
{
    --context_.callers_open;
}

forwarding::caller_limits caller_connection::limits() const
{
    const auto rules = *context_.rules.load();
    return rules == nullptr ? forwarding::caller_limits{} : rules->rules().limits;
}

void caller_connection::start()
{
    error_code ignored; // Options only tune the connection.
    socket_.set_option(tcp::no_delay(true), ignored);
    timer_ = std::make_shared<lazy_timer>(pool_.lane(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->timed_out();
        }
    });
    await_request();
}

void caller_connection::await_request()
{
    phase_ = phase::idle;
    parser_.reset();
    timer_->set(now() + limits().idle_timeout);
    if (buffer_.size() > 0) {
        begin_request();
        return;
    }
    read();
}

void caller_connection::begin_request()
{
    const auto bounds = limits();
    phase_ = phase::reading;
    continued_ = false;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(bounds.max_header_bytes));
    parser_->body_limit(bounds.max_body_bytes);
    parser_->eager(true);
    timer_->set(now() + bounds.header_timeout);
    parse();
}

void caller_connection::read()
{
    if (std::exchange(reading_, true)) {
        return;
    }
    socket_.async_read_some(
        buffer_.prepare(read_bytes),
        [self = shared_from_this()](const error_code& error, std::size_t count) {
            self->reading_ = false;
            self->received(error, count);
        });
}

void caller_connection::received(const error_code& error, std::size_t count)
{
    if (phase_ == phase::closed) {
        return;
    }
    if (error) {
        gone();
        return;
    }
    if (phase_ == phase::lingering) {
        lingered_ += count;
        if (lingered_ > max_lingered) {
            close();
            return;
        }
        read();
        return;
    }
    buffer_.commit(count);
    if (phase_ == phase::idle) {
        begin_request();
    }
    else if (phase_ == phase::reading) {
        parse();
    }
    else if (buffer_.size() < max_read_ahead) {
        read();
    }
}

void caller_connection::parse()
{
    while (buffer_.size() > 0 && !parser_->is_done()) {
        error_code error;
        const bool had_header = parser_->is_header_done();
        const auto used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (parser_->is_header_done() && !had_header) {
            arrived_ = now();
            timer_->set(arrived_ + limits().idle_timeout);
        }
        if (error == wire::error::need_more) {
            break;
        }
        if (error) {
            reject(error);
            return;
        }
    }
    if (parser_->is_done()) {
        parsed();
        return;
    }
    const bool waits = parser_->is_header_done() &&
                       beast::iequals(parser_->get()[wire::field::expect], "100-continue");
    if (waits && !std::exchange(continued_, true)) {
        send("HTTP/1.1 100 Continue\r\n\r\n", false);
    }
    read();
}

void caller_connection::parsed()
{
    phase_ = phase::answering;
    timer_->clear();
    auto message = parser_->release();
    parser_.reset();
    keep_alive_ = message.keep_alive() && !context_.leaving;
    chunked_ = message.version() >= http_1_1;
    caller_request request;
    request.arrived = arrived_;
    request.message.method = std::string(message.method_string());
    request.message.target = std::string(message.target());
    request.message.body = std::move(message.body());
    std::ranges::transform(
        message, std::back_inserter(request.message.headers), [](const auto& field) {
            return http::header{std::string(field.name_string()), std::string(field.value())};
        });
    head_only_ = request.message.method == "HEAD";
    read(); // Sees the caller's close while the request runs.
    call_ = admit(context_, pool_, std::move(request), shared_from_this());
    if (call_ != nullptr) {
        // The call may end, and be replaced, within `start`.
        const auto started = call_;
        started->start();
    }
}

void caller_connection::reject(const error_code& error)
{
    if (error == wire::error::body_limit) {
        turn_away(status_body_too_large, "body_too_large");
    }
    else if (error == wire::error::header_limit || error == wire::error::buffer_overflow) {
        turn_away(status_header_too_large, "header_too_large");
    }
    else {
        turn_away(status_bad_request, "malformed");
    }
}

void caller_connection::turn_away(unsigned status, std::string_view reason)
{
    phase_ = phase::answering;
    timer_->clear();
    keep_alive_ = false;
    head_only_ = false;
    context_.metrics.count("refusals_total", {{"reason", std::string(reason)}});
    log_turned_away("", "", reason, status, core::revision());
    reply(own_answer(status, reason, "", context_.headers));
}

void caller_connection::timed_out()
{
    switch (phase_) {
    case phase::idle:
    case phase::lingering:
    case phase::answering:
        close();
        break;
    case phase::reading:
        turn_away(status_request_timeout, "request_timeout");
        break;
    case phase::closed:
        break;
    }
}

void caller_connection::reply(const http::response& answer)
{
    if (phase_ != phase::answering) {
        return;
    }
    auto text = head_text(answer);
    const bool no_body = answer.status == status_no_content || answer.status == status_not_modified;
    if (!no_body && !head_only_) {
        absl::StrAppend(&text, "Content-Length: ", answer.body.size(), "\r\n");
    }
    keep_alive_ = keep_alive_ && !context_.leaving;
    if (!keep_alive_) {
        absl::StrAppend(&text, "Connection: close\r\n");
    }
    absl::StrAppend(&text, "\r\n");
    if (!no_body && !head_only_) {
        text += answer.body;
    }
    send(std::move(text), true);
}

void caller_connection::start_stream(const http::response& head)
{
    if (phase_ != phase::answering) {
        return;
    }
    auto text = head_text(head);
    keep_alive_ = keep_alive_ && chunked_ && !context_.leaving;
    absl::StrAppend(&text, chunked_ ? "Transfer-Encoding: chunked\r\n" : "",
                    keep_alive_ ? "" : "Connection: close\r\n", "\r\n");
    send(std::move(text), false);
}

void caller_connection::write(const std::string& part)
{
    if (phase_ != phase::answering || part.empty()) {
        return;
    }
    if (unsent_.size() > max_unsent) {
        gone();
        return;
    }
    send(chunked_ ? absl::StrCat(absl::Hex(part.size()), "\r\n", part, "\r\n") : part, false);
}

void caller_connection::finish()
{
    if (phase_ == phase::answering) {
        send(chunked_ ? "0\r\n\r\n" : "", true);
    }
}

void caller_connection::abort()
{
    close();
}

void caller_connection::send(std::string text, bool last)
{
    unsent_ += text;
    last_written_ = last_written_ || last;
    if (writing_.empty()) {
        flush();
    }
}

void caller_connection::flush()
{
    if (unsent_.empty()) {
        if (std::exchange(last_written_, false)) {
            answered();
        }
        return;
    }
    writing_ = std::exchange(unsent_, {});
    timer_->set(now() + write_timeout);
    asio::async_write(socket_, asio::buffer(writing_),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                          self->flushed(error);
                      });
}

void caller_connection::flushed(const error_code& error)
{
    writing_.clear();
    if (phase_ == phase::closed) {
        return;
    }
    timer_->clear();
    if (error) {
        gone();
        return;
    }
    if (phase_ == phase::reading) {
        timer_->set(now() + limits().idle_timeout);
    }
    flush();
}

void caller_connection::answered()
{
    call_.reset();
    if (!keep_alive_ || context_.leaving) {
        linger();
        return;
    }
    await_request();
}

/// Closes the sending half and reads on for a while: closing at once with unread bytes would reset
/// the connection, and the caller might lose the answer.
void caller_connection::linger()
{
    phase_ = phase::lingering;
    error_code ignored; // The caller may have closed already.
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_->set(now() + linger_timeout);
    buffer_.consume(buffer_.size());
    read();
}

void caller_connection::gone()
{
    const auto call = std::exchange(call_, nullptr);
    close();
    if (call != nullptr) {
        call->caller_gone();
    }
}

void caller_connection::close_if_idle()
{
    if (phase_ == phase::idle) {
        close();
    }
}

void caller_connection::close()
{
    phase_ = phase::closed;
    timer_->stop();
    error_code ignored; // The connection is given up in any case.
    socket_.close(ignored);
}

} // namespace ej::front
