#include "event_framer.h"

#include <core/text.h>

#include <algorithm>

namespace ej::front {

namespace {

std::optional<std::uint64_t> id_of(std::string_view text)
{
    std::optional<std::uint64_t> id;
    for (std::string_view line : core::split(text, '\n')) {
        constexpr std::string_view field = "id:";
        if (line.starts_with(field)) {
            line.remove_prefix(field.size());
            line = line.substr(0, line.find('\r'));
            id = core::parse_number<std::uint64_t>(core::trimmed(line));
        }
    }
    return id;
}

/// Length of the first event in `text`, including the empty line that ends it; npos if it is
/// incomplete.
std::size_t event_length(std::string_view text)
{
    const auto plain = text.find("\n\n");
    const auto with_returns = text.find("\r\n\r\n");
    const auto length = [](std::size_t place, std::size_t end_bytes) {
        return place == std::string_view::npos ? place : place + end_bytes;
    };
    return std::min(length(plain, 2), length(with_returns, 4));
}

} // namespace

std::vector<framed_event> event_framer::feed(std::string_view part)
{
    pending_.append(part);
    std::vector<framed_event> events;
    std::string_view rest = pending_;
    for (auto length = event_length(rest); length != std::string_view::npos;
         length = event_length(rest)) {
        const auto text = rest.substr(0, length);
        events.push_back({id_of(text), std::string(text)});
        rest.remove_prefix(length);
    }
    pending_.erase(0, pending_.size() - rest.size());
    return events;
}

} // namespace ej::front
