#include "demo_fleet.h"

#include <harness/http_client.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <numeric>

namespace ej::demo {

namespace {

constexpr int daemons_per_domain = 2;

const std::array<std::string, 3> domains{"recife", "salvador", "natal"};
const std::array<std::string, 2> tokens_per_second{"100", "300"};
const std::vector<std::string> classes{"--class", "summary:generation:bell-signal", "--class",
                                       "departure:non_idempotent:dispatch"};

// Returns an empty object for a killed process, so that it adds nothing to a sum.
nlohmann::json get_json(const harness::node& process, const std::string& target)
{
    const auto answer = harness::send(process.caller, {"GET", target, {}, {}});
    return answer.ok() ? nlohmann::json::parse(answer->body) : nlohmann::json::object();
}

} // namespace

demo_fleet::demo_fleet()
{
    for (const auto& domain : domains) {
        for (const auto& speed : tokens_per_second) {
            engines_.push_back(domain);
            engines_.back().append("-engine-").append(speed);
            processes_.start(harness::stand_in_settings{
                "engine", engines_.back(), domain, "bell-signal", {"--tokens-per-second", speed}});
        }
        applications_.push_back(domain + "-dispatch");
        processes_.start(harness::stand_in_settings{
            "application", applications_.back(), domain, "dispatch", {}});
        for (int number = 1; number <= daemons_per_domain; ++number) {
            daemons_.push_back(domain + "-daemon-" + std::to_string(number));
            processes_.start(harness::daemon_settings{daemons_.back(), domain, classes});
        }
    }
}

std::vector<core::address> demo_fleet::daemons_from(std::size_t first) const
{
    std::vector<core::address> addresses;
    std::ranges::transform(daemons_, std::back_inserter(addresses),
                           [&](const std::string& name) { return processes_.at(name).caller; });
    std::ranges::rotate(addresses, addresses.begin() + static_cast<std::ptrdiff_t>(first));
    return addresses;
}

std::vector<core::address> demo_fleet::operators() const
{
    std::vector<core::address> addresses;
    for (const auto& name : daemons_) {
        const auto& where = processes_.at(name).operator_address;
        if (harness::send(where, {"GET", "/healthz", {}, {}}).ok()) {
            addresses.push_back(where);
        }
    }
    return addresses;
}

std::string demo_fleet::busiest_engine() const
{
    return *std::ranges::max_element(engines_, {}, [&](const std::string& name) {
        return get_json(processes_.at(name), "/stats").value("running", 0);
    });
}

std::uint64_t demo_fleet::engine_total(const std::string& counter) const
{
    return std::transform_reduce(
        engines_.begin(), engines_.end(), std::uint64_t{0}, std::plus{},
        [&](const std::string& name) {
            return get_json(processes_.at(name), "/stats").value(counter, std::uint64_t{0});
        });
}

std::uint64_t demo_fleet::executions() const
{
    std::uint64_t total = 0;
    for (const auto& name : applications_) {
        const auto stats = get_json(processes_.at(name), "/stats");
        for (const auto& [key, count] : stats.at("executions").items()) {
            total += count.get<std::uint64_t>();
        }
    }
    return total;
}

} // namespace ej::demo
