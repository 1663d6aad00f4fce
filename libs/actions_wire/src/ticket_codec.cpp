#include <actions_wire/ticket_codec.h>

#include <nlohmann/json.hpp>

namespace ej::actions_wire {

namespace {

using nlohmann::json;

constexpr std::size_t field_count = 7;

} // namespace

ticket_codec::ticket_codec(const seal::secrets& keys) : sealer_(keys, "action-ticket") {}

std::string ticket_codec::seal(const actions::ticket& value) const
{
    const json fields =
        json::array({value.workspace.text(), value.work.text(), value.issuer.incarnation.text(),
                     value.issuer.peer.host, value.issuer.peer.port, value.number.value(),
                     value.expires_after_start.count()});
    return sealer_.seal(fields.dump(-1, ' ', true, json::error_handler_t::replace));
}

std::optional<actions::ticket> ticket_codec::open(std::string_view key) const
{
    const auto text = sealer_.open(key);
    const auto fields = text ? json::parse(*text, nullptr, false) : json();
    if (!fields.is_array() || fields.size() != field_count) {
        return std::nullopt;
    }
    try {
        return actions::ticket{core::workspace_id(fields[0].get<std::string>()),
                               core::class_id(fields[1].get<std::string>()),
                               {core::incarnation_id(fields[2].get<std::string>()),
                                {fields[3].get<std::string>(), fields[4].get<std::uint16_t>()}},
                               actions::ticket_number(fields[5].get<std::uint64_t>()),
                               std::chrono::milliseconds(fields[6].get<std::int64_t>())};
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace ej::actions_wire
