#include "answer_parser.h"

#include <core/text.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace ej::front {

namespace {

// Limit for the header of an answer; engines and applications send well under 1 kB.
constexpr std::uint32_t max_header_bytes = 32'768;

} // namespace

answer_parser::answer_parser()
{
    header_limit(max_header_bytes);
    // Without a limit, Beast 1.74 rejects every body with a Content-Length.
    body_limit(std::numeric_limits<std::uint64_t>::max());
    eager(true);
}

std::size_t answer_parser::consume(asio::const_buffer received, error_code& error)
{
    const std::string_view text(static_cast<const char*>(received.data()), received.size());
    if (!is_header_done() && check_.inspect(text) != http::framing_fault::none) {
        error = wire::error::bad_transfer_encoding;
        return 0;
    }
    const auto used = put(received, error);
    check_.consumed(used);
    return used;
}

std::string_view answer_parser::header(std::string_view name) const
{
    const auto found = std::ranges::find_if(headers_, [&](const http::header& field) {
        return core::equal_ignoring_case(field.name, name);
    });
    return found == headers_.end() ? std::string_view() : std::string_view(found->value);
}

std::string answer_parser::take_body()
{
    return std::exchange(body_, {});
}

void answer_parser::on_request_impl(wire::verb, beast::string_view, beast::string_view, int,
                                    error_code&)
{
}

void answer_parser::on_response_impl(int code, beast::string_view, int, error_code&)
{
    status_ = static_cast<unsigned>(code);
}

void answer_parser::on_field_impl(wire::field, beast::string_view name, beast::string_view value,
                                  error_code&)
{
    if (!is_header_done()) {
        headers_.push_back({std::string(name), std::string(value)});
    }
}

std::size_t answer_parser::on_body_impl(beast::string_view body, error_code&)
{
    body_.append(body.data(), body.size());
    return body.size();
}

std::size_t answer_parser::on_chunk_body_impl(std::uint64_t, beast::string_view body, error_code&)
{
    body_.append(body.data(), body.size());
    return body.size();
}

} // namespace ej::front
