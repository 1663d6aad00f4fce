#include "request_reader.h"

#include "clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string_view>
#include <utility>

namespace ej::front {

namespace {

constexpr unsigned http_1_1 = 11;

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
    continued_ = false;
    check_ = {};
    max_unparsed_bytes_ = limits.max_header_bytes + max_framing_bytes;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    parser_->body_limit(limits.max_body_bytes);
    // The parser adds trailer fields to those of the header, which are taken before.
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
    const auto& message = parser_->get();
    request_ = {};
    request_.arrived = now();
    request_.keep_alive = message.keep_alive();
    request_.takes_chunks = message.version() >= http_1_1;
    request_.message.method = std::string(message.method_string());
    request_.message.target = std::string(message.target());
    std::ranges::transform(
        message, std::back_inserter(request_.message.headers), [](const auto& field) {
            return http::header{std::string(field.name_string()), std::string(field.value())};
        });
}

bool request_reader::wants_continue()
{
    const bool waits = parser_->is_header_done() &&
                       beast::iequals(parser_->get()[wire::field::expect], "100-continue");
    return waits && !std::exchange(continued_, true);
}

caller_request request_reader::take()
{
    request_.message.body = std::move(parser_->get().body());
    parser_.reset();
    return std::exchange(request_, {});
}

} // namespace ej::front
