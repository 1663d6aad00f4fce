#include "claiming_daemon.h"
#include "generators.h"
#include "naive_daemon.h"

#include <catch2/catch.hpp>

namespace ej::actions::model {

namespace {

template <class Daemon>
std::string broken_by(const history& steps)
{
    fleet_model fleet([](fleet_model& all, int at) { return std::make_unique<Daemon>(all, at); });
    fleet.run(steps);
    return fleet.broken_promise();
}

} // namespace

TEST_CASE("no history of failures runs an action twice or after a refusal")
{
    const auto result = check_histories(
        [](const history& steps) { RC_ASSERT(broken_by<claiming_daemon>(steps) == ""); }, 4'000);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(text.str());
    CHECK(result.is<rc::detail::SuccessResult>());
}

TEST_CASE("a naive daemon that looks up, sends and retries breaks the promise")
{
    const auto result = check_histories(
        [](const history& steps) { RC_ASSERT(broken_by<naive_daemon>(steps) == ""); }, 4'000);
    CHECK(result.is<rc::detail::FailureResult>());
}

} // namespace ej::actions::model
