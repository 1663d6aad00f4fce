#include <cbor/parse.h>

#include "indefinite_strings.h"
#include "tree_builder.h"

#include <span>
#include <utility>

namespace ej::cbor {

nlohmann::json parse(const std::uint8_t* data, std::size_t size)
{
    using nlohmann::json;
    const std::span bytes(data, size);
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
    return parse(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

} // namespace ej::cbor
