#include "frame.h"

#include <cbor/parse.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace ej::peer {

namespace {

using nlohmann::json;

std::string text_of(const json& object, const char* key)
{
    return object.at(key).get_ref<const std::string&>();
}

std::string bytes_of(const json& object, const char* key)
{
    const auto& binary = object.at(key).get_ref<const json::binary_t&>();
    return {binary.begin(), binary.end()};
}

peer_identity sender_of(const json& object)
{
    return {text_of(object, "name"),
            text_of(object, "domain"),
            {text_of(object, "host"), object.at("port").get<std::uint16_t>()}};
}

} // namespace

std::string encode(const frame& value)
{
    json object = json::object();
    object["k"] = static_cast<int>(value.kind);
    object["p"] = json::binary({value.payload.begin(), value.payload.end()});
    if (value.request_number != 0) {
        object["c"] = value.request_number;
    }
    if (value.kind == frame_kind::challenge) {
        object["name"] = value.sender.name;
        object["domain"] = value.sender.domain;
        object["host"] = value.sender.address.host;
        object["port"] = value.sender.address.port;
    }
    std::string bytes;
    json::to_cbor(object, bytes);
    return bytes;
}

std::optional<frame> decode(const std::string& bytes)
{
    const json object = cbor::parse(bytes);
    if (!object.is_object()) {
        return std::nullopt;
    }
    try {
        frame value;
        value.kind = static_cast<frame_kind>(object.at("k").get<int>());
        value.request_number = object.value("c", std::uint64_t{0});
        value.payload = bytes_of(object, "p");
        if (value.kind == frame_kind::challenge) {
            value.sender = sender_of(object);
        }
        return value;
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace ej::peer
