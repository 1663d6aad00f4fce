#include "request_parser.h"

#include <core/text.h>

#include <algorithm>

namespace ej::front {

request_parser::request_parser(std::size_t max_header_bytes, std::size_t max_body_bytes)
    : max_body_bytes_(max_body_bytes)
{
    header_limit(static_cast<std::uint32_t>(max_header_bytes));
    body_limit(max_body_bytes);
}

std::string_view request_parser::header(std::string_view name) const
{
    const auto found = std::ranges::find_if(headers_, [&](const http::header& field) {
        return core::equal_ignoring_case(field.name, name);
    });
    return found == headers_.end() ? std::string_view() : std::string_view(found->value);
}

void request_parser::on_request_impl(wire::verb, beast::string_view method,
                                     beast::string_view target, int version, error_code&)
{
    method_ = std::string(method);
    target_ = std::string(target);
    version_ = version;
    header_bytes_ = method_.capacity() + target_.capacity();
}

void request_parser::on_field_impl(wire::field, beast::string_view name, beast::string_view value,
                                   error_code&)
{
    if (is_header_done()) {
        return; // Of the trailer.
    }
    headers_.push_back({std::string(name), std::string(value)});
    header_bytes_ += sizeof(http::header) + name.size() + value.size();
}

std::size_t request_parser::append(beast::string_view part)
{
    const auto needed = body_.size() + part.size();
    if (needed > body_.capacity()) {
        // Doubled, as by `append` itself, but not beyond the longest body.
        body_.reserve(std::max(needed, std::min(2 * body_.capacity(), max_body_bytes_)));
    }
    body_.append(part.data(), part.size());
    return part.size();
}

std::size_t request_parser::on_body_impl(beast::string_view part, error_code&)
{
    return append(part);
}

std::size_t request_parser::on_chunk_body_impl(std::uint64_t, beast::string_view part, error_code&)
{
    return append(part);
}

} // namespace ej::front
