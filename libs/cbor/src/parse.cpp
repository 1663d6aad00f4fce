#include <cbor/parse.h>

#include "shape_check.h"

namespace ej::cbor {

namespace {

using nlohmann::json;

template <class Iterator>
json parse_checked(Iterator begin, Iterator end)
{
    shape_check check(static_cast<std::size_t>(end - begin));
    if (!json::sax_parse(begin, end, &check, nlohmann::detail::input_format_t::cbor)) {
        return json(json::value_t::discarded);
    }
    constexpr bool strict = true;
    constexpr bool may_throw = false;
    return json::from_cbor(begin, end, strict, may_throw);
}

} // namespace

json parse(const std::uint8_t* begin, const std::uint8_t* end)
{
    return parse_checked(begin, end);
}

json parse(std::string_view bytes)
{
    return parse_checked(bytes.begin(), bytes.end());
}

} // namespace ej::cbor
