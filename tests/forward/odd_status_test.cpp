#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::step;
using fleet::step_kind;

/// An answer whose status line has `status`; the connection stays open.
endpoint_stand_in::script answer_with(const std::string& status)
{
    return [status](const std::string& request, int) -> std::vector<step> {
        auto answer = fleet::signed_answer(request, 200, "done");
        answer.replace(answer.find("200"), 3, status);
        return {{step_kind::send, answer}};
    };
}

} // namespace

// MIXED: a status below 100 was taken for an interim answer, and the call waited for another one.
TEST_CASE("an answer with a status outside 100 to 599 fails its request at once")
{
    const std::string status = GENERATE("000", "042", "099", "600", "999");
    const bool stream = GENERATE(false, true);
    daemon_fixture fixture;
    const endpoint_stand_in endpoint(answer_with(status));
    fixture.add("i-1", stream ? "llm" : "app", endpoint);
    fixture.configure_and_start(1);
    caller one(fixture.listen_address());
    one.send(request("POST", stream ? "/gen/x" : "/act/x", "a", "prompt",
                     "Endivejunction-Token-Usage: 5000,72\r\n"));
    CHECK(one.read_answer().starts_with("HTTP/1.1 502 "));
    CHECK_FALSE(endpoint.requests().empty());
}

} // namespace ej::forward_tests
