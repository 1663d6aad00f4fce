#include "json.h"

#include <wire/engine_line.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace ej::wire {

namespace {

using generation::event;
using generation::event_kind;

std::uint64_t number_or_zero(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

absl::StatusOr<event> parse_start(const json& start, core::attempt_number)
{
    if (!start.is_object()) {
        return absl::InvalidArgumentError("start is not an object");
    }
    event opened{event_kind::opened};
    opened.attempt = core::attempt_number(number_or_zero(start, "attempt"));
    opened.offset = core::token_offset(number_or_zero(start, "offset"));
    opened.digest = core::digest(number_or_zero(start, "digest"));
    return opened;
}

absl::StatusOr<event> parse_tokens(const json& line, core::attempt_number expected)
{
    const auto& list = line.at("tokens");
    const auto offset = line.find("offset");
    if (!list.is_array() || offset == line.end() || !offset->is_number_unsigned() ||
        !std::ranges::all_of(list, [](const json& token) { return token.is_string(); })) {
        return absl::InvalidArgumentError("tokens without an offset, or not a list of strings");
    }
    event tokens{event_kind::tokens};
    tokens.attempt = expected;
    tokens.offset = core::token_offset(offset->get<std::uint64_t>());
    std::ranges::transform(list, std::back_inserter(tokens.tokens),
                           [](const json& token) { return token.get<std::string>(); });
    return tokens;
}

absl::StatusOr<event> parse_end(const json& end, core::attempt_number expected)
{
    if (!end.is_object()) {
        return absl::InvalidArgumentError("end is not an object");
    }
    const auto reason =
        end.value("reason", json()).is_string() ? end["reason"].get<std::string>() : std::string();
    event last{reason == "length" || reason == "stop" ? event_kind::finished : event_kind::aborted};
    last.attempt = expected;
    last.offset = core::token_offset(number_or_zero(end, "total"));
    return last;
}

} // namespace

absl::StatusOr<event> parse_engine_line(std::string_view text, core::attempt_number expected)
{
    const auto line = parse_json(text);
    if (!line.is_object()) {
        return absl::InvalidArgumentError("line is not a JSON object");
    }
    if (const auto start = line.find("start"); start != line.end()) {
        return parse_start(*start, expected);
    }
    if (line.contains("tokens")) {
        return parse_tokens(line, expected);
    }
    if (const auto end = line.find("end"); end != line.end()) {
        return parse_end(*end, expected);
    }
    return absl::InvalidArgumentError("line has neither start, tokens nor end");
}

} // namespace ej::wire
