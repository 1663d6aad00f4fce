#include <cursor/cursor_codec.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace ej::cursor {

namespace {

using nlohmann::json;

// Offset and digest are not sealed, because the seal is created once per attempt. A caller that
// changes them affects only its own answer, and a prefix that it provides must match the digest.
constexpr char separator = '~';
constexpr std::size_t location_fields = 7;

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end || text.empty()) {
        return std::nullopt;
    }
    return number;
}

std::optional<attempt_location> parse_location(const std::string& text)
{
    const auto fields = json::parse(text, nullptr, false);
    if (!fields.is_array() || fields.size() != location_fields) {
        return std::nullopt;
    }
    try {
        return attempt_location{core::workspace_id(fields[0].get<std::string>()),
                                core::request_id(fields[1].get<std::string>()),
                                core::class_id(fields[2].get<std::string>()),
                                core::attempt_number(fields[3].get<std::uint64_t>()),
                                core::endpoint_id(fields[4].get<std::string>()),
                                {fields[5].get<std::string>(), fields[6].get<std::uint16_t>()}};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

cursor_codec::cursor_codec(const seal::secrets& keys) : sealer_(keys, "stream-cursor") {}

std::string cursor_codec::seal_location(const attempt_location& location) const
{
    const json fields =
        json::array({location.workspace.text(), location.request.text(), location.work_class.text(),
                     location.attempt.value(), location.endpoint.text(), location.where.host,
                     location.where.port});
    return sealer_.seal(fields.dump(-1, ' ', true, json::error_handler_t::replace));
}

std::string cursor_codec::event_id(std::string_view sealed_location, core::token_offset next,
                                   core::digest text)
{
    std::string id(sealed_location);
    id += separator;
    id += std::to_string(next.value());
    id += separator;
    id += std::to_string(text.value());
    return id;
}

std::optional<stream_cursor> cursor_codec::open(std::string_view event_id) const
{
    const auto last = event_id.rfind(separator);
    if (last == std::string_view::npos || last == 0) {
        return std::nullopt;
    }
    const auto middle = event_id.rfind(separator, last - 1);
    if (middle == std::string_view::npos) {
        return std::nullopt;
    }
    const auto offset = parse_number(event_id.substr(middle + 1, last - middle - 1));
    const auto text = parse_number(event_id.substr(last + 1));
    const auto sealed = sealer_.open(event_id.substr(0, middle));
    if (!offset || !text || !sealed) {
        return std::nullopt;
    }
    auto location = parse_location(*sealed);
    if (!location) {
        return std::nullopt;
    }
    return stream_cursor{std::move(*location), core::token_offset(*offset), core::digest(*text)};
}

} // namespace ej::cursor
