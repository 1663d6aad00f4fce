#include "request_reader.h"

#include "clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <utility>

namespace ej::front {

namespace {

constexpr unsigned http_1_1 = 11;

// Limit for received bytes that the parser cannot consume yet, besides the header. The parser
// limits that itself, but neither chunk extensions nor trailers.
constexpr std::size_t max_framing_bytes = std::size_t{64} << 10;

} // namespace

void request_reader::begin(const forwarding::caller_limits& limits)
{
    continued_ = false;
    max_unparsed_bytes_ = limits.max_header_bytes + max_framing_bytes;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser_->body_limit(limits.max_body_bytes);
    parser_->eager(true);
}

request_reader::progress request_reader::advance()
{
    while (buffer_.size() > 0 && !parser_->is_done()) {
        error_code error;
        const bool had_header = parser_->is_header_done();
        buffer_.consume(parser_->put(buffer_.data(), error));
        if (parser_->is_header_done() && !had_header) {
            arrived_ = now();
        }
        if (error == wire::error::need_more) {
            break;
        }
        if (error) {
            fault_ = error;
            return progress::faulty;
        }
    }
    if (parser_->is_done()) {
        return progress::complete;
    }
    if (buffer_.size() > max_unparsed_bytes_) {
        fault_ = wire::error::buffer_overflow;
        return progress::faulty;
    }
    return parser_->is_header_done() ? progress::body : progress::header;
}

bool request_reader::wants_continue()
{
    const bool waits = parser_->is_header_done() &&
                       beast::iequals(parser_->get()[wire::field::expect], "100-continue");
    return waits && !std::exchange(continued_, true);
}

caller_request request_reader::take()
{
    auto message = parser_->release();
    parser_.reset();
    caller_request request;
    request.arrived = arrived_;
    request.keep_alive = message.keep_alive();
    request.takes_chunks = message.version() >= http_1_1;
    request.message.method = std::string(message.method_string());
    request.message.target = std::string(message.target());
    request.message.body = std::move(message.body());
    std::ranges::transform(
        message, std::back_inserter(request.message.headers), [](const auto& field) {
            return http::header{std::string(field.name_string()), std::string(field.value())};
        });
    return request;
}

} // namespace ej::front
