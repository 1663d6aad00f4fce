#include <config_wire/peer_codec.h>

#include "parse.h"
#include "peer_message_to_json.h"

#include <cbor/parse.h>

#include <algorithm>
#include <array>
#include <utility>

namespace ej::config_wire {

namespace {

using message_reader = config::peer_message (*)(const field_reader&);

config::peer_message read_digest(const field_reader& fields)
{
    config::revision_digest digest{core::revision(fields.number("revision")),
                                   config::history_digest(fields.number("history")), std::nullopt};
    if (fields.has("contact_age_ms")) {
        digest.contact_age = fields.time("contact_age_ms", std::chrono::milliseconds(0));
    }
    return digest;
}

config::peer_message read_request(const field_reader& fields)
{
    return config::change_request{core::revision(fields.number("after")),
                                  fields.number("whole") != 0};
}

config::peer_message read_changes(const field_reader& fields)
{
    return change_log_from_json(fields);
}

config::peer_message read_configuration(const field_reader& fields)
{
    return configuration_from_json(fields);
}

const std::array<std::pair<std::string, message_reader>, 4> readers{
    {{"digest", &read_digest},
     {"request", &read_request},
     {"changes", &read_changes},
     {"configuration", &read_configuration}}};

config::peer_message message_from_json(const field_reader& fields)
{
    const auto* const known =
        std::ranges::find_if(readers, [&](const auto& reader) { return fields.has(reader.first); });
    if (known == readers.end()) {
        fields.fault("message", "unknown kind");
        return config::change_request{};
    }
    const auto& [name, read] = *known;
    return read(field_reader(fields.child(name), name, fields.faults()));
}

} // namespace

std::string encode_peer_message(const config::peer_message& message)
{
    const auto bytes = json::to_cbor(std::visit(peer_message_to_json{}, message));
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<config::peer_message> parse_peer_message(std::string_view bytes)
{
    return parse(cbor::parse(bytes), message_from_json);
}

} // namespace ej::config_wire
