#include <cbor/parse.h>

#include "indefinite_strings.h"
#include "tree_builder.h"

#include <utility>

namespace ej::cbor {

nlohmann::json parse(std::span<const std::uint8_t> bytes)
{
    using nlohmann::json;
    // The library's reader recurses for each part of such a string, without a limit.
    if (has_indefinite_string(bytes)) {
        return json(json::value_t::discarded);
    }
    tree_builder builder;
    const bool valid =
        json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor);
    return valid ? std::move(builder.result()) : json(json::value_t::discarded);
}

nlohmann::json parse(std::string_view bytes)
{
    return parse(std::span(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()));
}

} // namespace ej::cbor
