#include "scenario.h"

#include <harness/http_client.h>

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>

namespace ej::demo {

namespace {

harness::http_call operator_call(const std::string& method, const std::string& target,
                                 const std::string& body)
{
    harness::http_call call{method, target, {}, body};
    call.headers["Authorization"] = "Bearer " + harness::fleet::operator_key;
    return call;
}

/// The resume target (ms) of class "summary" in force at a daemon; 0 when there is none or the
/// daemon does not answer.
int resume_in_force(const core::address& daemon)
{
    const auto answer = harness::send(daemon, operator_call("GET", "/classes/summary", {}));
    if (!answer.ok()) {
        return 0;
    }
    const auto shown = nlohmann::json::parse(answer->body, nullptr, false);
    return shown.is_object() && shown.contains("target") ? shown["target"].value("resume_ms", 0)
                                                         : 0;
}

} // namespace

bool run_target_change(demo_fleet& fleet, std::ostream& out)
{
    constexpr int resume_ms = 800;
    const auto operators = fleet.operators();
    const nlohmann::json wanted{
        {"kind", "generation"}, {"service", "bell-signal"}, {"target", {{"resume_ms", resume_ms}}}};
    const auto made = harness::send(
        operators.front(), operator_call("PUT", "/classes/summary?if_revision=0", wanted.dump()));
    const bool accepted = made.ok() && made->status == 200;
    out << "\nresume target of class summary set to " << resume_ms
        << " ms at one daemon: " << (made.ok() ? made->body : std::string(made.status().message()))
        << '\n';
    std::size_t in_force = 0;
    while (accepted && in_force < operators.size()) {
        in_force += resume_in_force(operators.at(in_force)) == resume_ms ? 1 : 0;
    }
    out << "  in force at " << in_force << " of " << operators.size() << " daemons\n";
    return accepted;
}

} // namespace ej::demo
