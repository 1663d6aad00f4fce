#include "request_reader.h"

#include "clock.h"

#include <core/text.h>

#include <cstddef>
#include <string_view>
#include <utility>

namespace ej::front {

namespace {

constexpr int http_1_1 = 11;

// Limit for received bytes that the parser cannot consume yet, besides the header. The parser
// limits that itself, but neither chunk extensions nor trailers.
constexpr std::size_t max_framing_bytes = std::size_t{64} << 10;

request_fault fault_of(const error_code& error)
{
    if (error == wire::error::body_limit) {
        return request_fault::body_too_large;
    }
    return error == wire::error::header_limit ? request_fault::header_too_large
                                              : request_fault::malformed;
}

} // namespace

void request_reader::begin(const forwarding::caller_limits& limits)
{
    waits_for_continue_ = false;
    check_ = {};
    max_unparsed_bytes_ = limits.max_header_bytes + max_framing_bytes;
    parser_.emplace(limits.max_header_bytes, limits.max_body_bytes);
    // Until the header is complete, no byte of the body is consumed with it.
    parser_->eager(false);
}

request_reader::progress request_reader::advance()
{
    while (buffer_.size() > 0 && !parser_->is_done()) {
        const bool had_header = parser_->is_header_done();
        const auto received = buffer_.data();
        if (!had_header) {
            const std::string_view text(static_cast<const char*>(received.data()), received.size());
            const auto found = check_.inspect(text);
            if (found != http::framing_fault::none) {
                return fail(found == http::framing_fault::unknown_coding
                                ? request_fault::unknown_coding
                                : request_fault::malformed);
            }
        }
        error_code error;
        const auto used = parser_->put(received, error);
        buffer_.consume(used);
        check_.consumed(used);
        if (parser_->is_header_done() && !had_header) {
            take_header();
        }
        if (error == wire::error::need_more) {
            break;
        }
        if (error) {
            return fail(fault_of(error));
        }
    }
    if (parser_->is_done()) {
        return progress::complete;
    }
    if (buffer_.size() > max_unparsed_bytes_) {
        return fail(request_fault::header_too_large);
    }
    return parser_->is_header_done() ? progress::body : progress::header;
}

request_reader::progress request_reader::fail(request_fault fault)
{
    fault_ = fault;
    return progress::faulty;
}

void request_reader::take_header()
{
    parser_->eager(true);
    request_ = {};
    request_.arrived = now();
    request_.keep_alive = parser_->keep_alive();
    request_.takes_chunks = parser_->version() >= http_1_1;
    waits_for_continue_ =
        core::equal_ignoring_case(core::trimmed(parser_->header("Expect")), "100-continue");
}

bool request_reader::wants_continue()
{
    return std::exchange(waits_for_continue_, false);
}

caller_request request_reader::take()
{
    request_.message = {parser_->method(), parser_->target(), std::move(parser_->headers()),
                        std::move(parser_->body())};
    parser_.reset();
    return std::exchange(request_, {});
}

std::size_t request_reader::allocated() const
{
    return buffer_.capacity() + (parser_ ? parser_->allocated() : 0);
}

} // namespace ej::front
