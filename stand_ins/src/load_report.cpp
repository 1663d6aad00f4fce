#include "load_report.h"

#include <nlohmann/json.hpp>

namespace ej::stand_ins {

nlohmann::json load_report(const options& settings, const std::string& incarnation,
                           const slot_pool& slots, const fault_control& control)
{
    return {{"endpoint", settings.name},
            {"incarnation", incarnation},
            {"service", settings.service},
            {"running", slots.running()},
            {"waiting", slots.waiting()},
            {"slots", slots.slots()},
            {"leaving", control.current()->leaving}};
}

} // namespace ej::stand_ins
