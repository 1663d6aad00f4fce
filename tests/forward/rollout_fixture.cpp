#include "rollout_fixture.h"

#include "caller.h"

#include <absl/strings/str_replace.h>

#include <algorithm>
#include <chrono>
#include <numeric>

namespace ej::forward_tests {

namespace {

using fleet::step;
using fleet::step_kind;

constexpr std::chrono::seconds longest_wait{20}; // Only bounds a hang.
constexpr int status_ok = 200;
constexpr int status_failed = 500;

} // namespace

rollout_fixture::rollout_fixture()
{
    for (int number = 0; number < 2 * endpoints_per_version; ++number) {
        const bool is_target = number >= endpoints_per_version;
        endpoints_.push_back({is_target, std::make_unique<fleet::endpoint_stand_in>(
                                             [this, is_target](const std::string& request, int) {
                                                 return answer(is_target, request);
                                             })});
        const auto entry = fleet::registration("app", endpoints_.back().stand_in->address(), "z1");
        fixture.store.put("servers/e" + std::to_string(number),
                          is_target ? absl::StrReplaceAll(entry, {{"\"v1\"", "\"v2\""}}) : entry);
    }
}

std::vector<step> rollout_fixture::answer(bool is_target, const std::string& request)
{
    const int status = is_target && broken_ ? status_failed : status_ok;
    return {{step_kind::send, fleet::signed_answer(request, status, "done")}};
}

void rollout_fixture::order(int seconds)
{
    fixture.store.put("op/rollout/app", R"({"service":"app","target":"v2","durationS":)" +
                                            std::to_string(seconds) + "}");
}

bool rollout_fixture::call_until(const std::function<bool()>& done)
{
    const auto end = std::chrono::steady_clock::now() + longest_wait;
    caller connection(fixture.listen_address());
    while (!done()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        connection.send(request("POST", "/read/x", "call" + std::to_string(calls_++), "b"));
        failures_ += connection.read_answer().starts_with("HTTP/1.1 200 ") ? 0 : 1;
    }
    return true;
}

std::string rollout_fixture::status()
{
    const auto text = fixture.store.value_of("status/rollout/app");
    for (const std::string state : {"running", "succeeded", "rolled_back"}) {
        if (text.find("\"state\":\"" + state + "\"") != std::string::npos) {
            return state;
        }
    }
    return {};
}

bool rollout_fixture::call_until_status(const std::string& state)
{
    return call_until([&] { return status() == state; });
}

int rollout_fixture::arrivals(bool at_target) const
{
    return std::transform_reduce(
        endpoints_.begin(), endpoints_.end(), 0, std::plus<>(), [&](const endpoint& one) {
            return one.is_target == at_target ? static_cast<int>(one.stand_in->requests().size())
                                              : 0;
        });
}

} // namespace ej::forward_tests
