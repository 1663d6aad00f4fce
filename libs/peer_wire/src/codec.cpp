#include <peer_wire/codec.h>

#include "reader.h"
#include "writer.h"

#include <cbor/parse.h>

#include <algorithm>
#include <array>

namespace ej::peer_wire {

namespace {

using nlohmann::json;

// Raise this for a change that older daemons must ignore as a whole rather than read in part.
constexpr int protocol_version = 1;

template <class Body>
message read_body(message_kind /*kind*/, const json& body, core::findings& faults)
{
    Body value;
    reader(faults).read(body, "b", value);
    return value;
}

message read_opaque(message_kind kind, const json& body, core::findings& faults)
{
    if (!body.is_binary()) {
        faults.add("b", "is not a byte string");
        return opaque_message{};
    }
    const auto& bytes = body.get_ref<const json::binary_t&>();
    return opaque_message{kind, {bytes.begin(), bytes.end()}};
}

struct kind_reader {
    message_kind kind;
    message (*read)(message_kind, const json&, core::findings&);
};

// A new kind whose payload another library encodes needs a row with `read_opaque`. A new kind with
// a message type of its own needs a row with `read_body`, a table in fields.h and an overload of
// `envelope`.
constexpr std::array<kind_reader, 7> kind_readers{
    {{message_kind::membership_delta, &read_body<membership::delta>},
     {message_kind::membership_digest, &read_body<membership::digest_table>},
     {message_kind::config_digest, &read_opaque},
     {message_kind::config_delta, &read_opaque},
     {message_kind::action_forward, &read_opaque},
     {message_kind::action_answer, &read_opaque},
     {message_kind::death_record, &read_opaque}}};

json envelope(message_kind kind, json body)
{
    auto object = json::object();
    object["v"] = protocol_version;
    object["k"] = static_cast<int>(kind);
    object["b"] = std::move(body);
    return object;
}

json envelope(const membership::delta& value)
{
    return envelope(message_kind::membership_delta, writer::write(value));
}

json envelope(const membership::digest_table& value)
{
    return envelope(message_kind::membership_digest, writer::write(value));
}

json envelope(const opaque_message& value)
{
    return envelope(value.kind, json::binary({value.payload.begin(), value.payload.end()}));
}

bool has_number(const json& object, const char* key)
{
    return object.contains(key) && object[key].is_number_integer();
}

} // namespace

std::string encode(const message& value)
{
    std::string bytes;
    json::to_cbor(std::visit([](const auto& body) { return envelope(body); }, value), bytes);
    return bytes;
}

std::optional<message> parse_message(const std::string& bytes, core::findings& faults)
{
    const auto object = cbor::parse(bytes);
    if (!object.is_object() || !has_number(object, "v") || !has_number(object, "k")) {
        faults.add("message", "is not a versioned message");
        return std::nullopt;
    }
    const auto kind = object["k"].get<std::int64_t>();
    const auto* const known = std::ranges::find(kind_readers, kind, [](const kind_reader& entry) {
        return static_cast<std::int64_t>(entry.kind);
    });
    if (object["v"].get<std::int64_t>() != protocol_version || known == kind_readers.end()) {
        return std::nullopt;
    }
    core::findings body_faults;
    auto value = known->read(known->kind, object.value("b", json()), body_faults);
    faults.add_all("", body_faults);
    return body_faults.empty() ? std::optional(std::move(value)) : std::nullopt;
}

} // namespace ej::peer_wire
