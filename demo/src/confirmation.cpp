#include "scenario.h"

#include <harness/http_client.h>

#include <array>
#include <future>
#include <ostream>

namespace ej::demo {

namespace {

harness::http_call confirmation()
{
    harness::http_call call{"POST", "/v1/requests", {}, {}};
    call.headers["Authorization"] = "Bearer wharf-key";
    call.headers["Idempotency-Key"] = "departure of the 07:40 ferry";
    call.body = R"({"class":"departure","path":"/confirm","body":{"ferry":"07:40"}})";
    return call;
}

std::string text_of(const absl::StatusOr<harness::http_result>& result)
{
    return result.ok() ? std::to_string(result->status) + ' ' + result->body
                       : std::string(result.status().message());
}

} // namespace

bool run_confirmation(demo_fleet& fleet, std::ostream& out)
{
    const auto daemons = fleet.daemons_from(2);
    auto first = std::async(std::launch::async, harness::send, daemons.at(0), confirmation());
    auto second = std::async(std::launch::async, harness::send, daemons.at(2), confirmation());
    out << "\ndeparture confirmation, the same key through two daemons at once:\n  "
        << text_of(first.get()) << "\n  " << text_of(second.get()) << "\n  executions "
        << fleet.executions() << '\n';
    return fleet.executions() == 1;
}

} // namespace ej::demo
