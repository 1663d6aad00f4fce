#include <cbor/parse.h>

#include "tree_builder.h"

#include <utility>

namespace ej::cbor {

nlohmann::json parse(std::string_view bytes)
{
    using nlohmann::json;
    tree_builder builder;
    const bool valid =
        json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor);
    return valid ? std::move(builder.result()) : json(json::value_t::discarded);
}

} // namespace ej::cbor
