#include "reader.h"

namespace ej::peer_wire {

namespace {

constexpr std::size_t max_text_bytes = 256;

} // namespace

void reader::read(const nlohmann::json& from, const std::string& place, std::string& value)
{
    const auto* text = from.get_ptr<const std::string*>();
    if (text == nullptr || text->size() > max_text_bytes) {
        faults_.add(place, "is not a string, or too long");
        return;
    }
    value = *text;
}

void reader::read(const nlohmann::json& from, const std::string& place, bool& value)
{
    if (!from.is_boolean()) {
        faults_.add(place, "is not true or false");
        return;
    }
    value = from.get<bool>();
}

void reader::read(const nlohmann::json& from, const std::string& place,
                  membership::member_state& value)
{
    std::uint8_t number = 0;
    read(from, place, number);
    if (number > static_cast<std::uint8_t>(membership::member_state::dead)) {
        faults_.add(place, "is not a member state");
        return;
    }
    value = static_cast<membership::member_state>(number);
}

} // namespace ej::peer_wire
