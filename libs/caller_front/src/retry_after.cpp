#include "retry_after.h"

#include <core/text.h>

#include <algorithm>
#include <charconv>
#include <system_error>

namespace ej::front {

namespace {

using seconds = std::chrono::duration<double>;

// Excludes "inf" and "nan", which from_chars accepts, and HTTP dates: they would be compared with
// this VM's wall clock, which may be wrong or step.
constexpr std::string_view allowed = "0123456789.";

/// True if the number `text` is at least 1.
bool is_at_least_one(std::string_view text)
{
    return text.substr(0, text.find('.')).find_first_not_of('0') != std::string_view::npos;
}

} // namespace

// The bound: an endpoint that wants no requests for longer than an hour drains. A faulty value thus
// costs the endpoint one request an hour and not all of them, and no sum with it overflows.
std::optional<retry_after> parse_retry_after(std::string_view text)
{
    text = core::trimmed(text);
    if (text.empty() || text.find_first_not_of(allowed) != std::string_view::npos) {
        return std::nullopt;
    }
    double value = 0;
    const auto [stop, error] =
        std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (stop != text.data() + text.size() || error == std::errc::invalid_argument) {
        return std::nullopt;
    }
    if (error == std::errc::result_out_of_range) {
        return is_at_least_one(text) ? std::optional(retry_after{retry_after::longest})
                                     : std::nullopt;
    }
    const auto bounded = std::min(seconds(value), seconds(retry_after::longest));
    const auto delay = std::chrono::duration_cast<core::duration>(bounded);
    return delay > core::duration::zero() ? std::optional(retry_after{delay}) : std::nullopt;
}

std::optional<retry_after> retry_after_of(std::span<const http::header> fields,
                                          std::string_view name)
{
    std::optional<retry_after> longest;
    for (const http::header& field : fields) {
        if (!core::equal_ignoring_case(field.name, name)) {
            continue;
        }
        // Repeated fields may have been joined on the way.
        for (const std::string_view part : core::split(field.value, ',')) {
            longest = std::max(longest, parse_retry_after(part));
        }
    }
    return longest;
}

} // namespace ej::front
