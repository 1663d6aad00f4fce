#include "parse_faults.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string_view>
#include <utility>

namespace ej::stand_ins {

namespace {

template <class Field>
using member = std::pair<const char*, Field faults::*>;

constexpr std::array<member<bool>, 7> switches{{{"freeze", &faults::freeze},
                                                {"outage", &faults::outage},
                                                {"refuse", &faults::refuse},
                                                {"leaving", &faults::leaving},
                                                {"check_fencing", &faults::check_fencing},
                                                {"wrong_offset", &faults::wrong_offset},
                                                {"other_text", &faults::other_text}}};
constexpr std::array<member<double>, 2> factors{
    {{"slow", &faults::slow}, {"list_lag_ms", &faults::list_lag_ms}}};
constexpr std::array<member<std::string>, 1> texts{{{"crash_on_prompt", &faults::crash_on_prompt}}};

template <class Table>
void read(const nlohmann::json& body, const Table& table, faults& into)
{
    for (const auto& [name, field] : table) {
        if (body.contains(name)) {
            body.at(name).get_to(into.*field);
        }
    }
}

} // namespace

faults parse_faults(const nlohmann::json& body, faults current)
{
    read(body, switches, current);
    read(body, factors, current);
    read(body, texts, current);
    return current;
}

} // namespace ej::stand_ins
