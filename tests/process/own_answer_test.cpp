#include "deployment.h"

#include <harness/http_client.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <vector>

namespace ej::process_tests {

using harness::generation_caller;
using harness::stream_state;

TEST_CASE("the same idempotency key in two workspaces gets separate answers")
{
    deployment system(2);
    auto first = summary("bells of the night", 100);
    auto second = summary("papers of a cook", 100);
    second.workspace_key = "crew-key";
    second.idempotency_key = first.idempotency_key;
    generation_caller wharf(first);
    generation_caller crew(second);
    wharf.start(system.daemon("d1"));
    crew.start(system.daemon("d1"));
    CHECK(crew.read_to_end() == stream_state::ended);
    CHECK(wharf.read_to_end() == stream_state::ended);
    require_complete_answer(wharf, first);
    require_complete_answer(crew, second);
}

TEST_CASE("a workspace cannot read a stream of another workspace by request id and event id")
{
    deployment system(2);
    const auto call = summary("bells of the night", 200);
    generation_caller owner(call);
    owner.start(system.daemon("d1"));
    REQUIRE(owner.read_until(20) == stream_state::flowing);
    for (const auto* daemon : {"d1", "d2"}) {
        harness::http_call foreign_call{"GET", "/v1/generations/" + owner.answer().request, {}, {}};
        foreign_call.headers["Authorization"] = "Bearer crew-key";
        foreign_call.headers["Last-Event-ID"] = owner.answer().cursor;
        const auto answer = harness::send(system.daemon(daemon), foreign_call);
        REQUIRE(answer.ok());
        CHECK(answer->body.find("\"tokens\"") == std::string::npos);
    }
    REQUIRE(owner.read_to_end() == stream_state::ended);
    require_complete_answer(owner, call);
}

TEST_CASE("a resume with a tampered event id returns no tokens")
{
    deployment system(2);
    const auto call = summary("bells of the night", 200);
    generation_caller owner(call);
    owner.start(system.daemon("d1"));
    REQUIRE(owner.read_until(20) == stream_state::flowing);
    std::string changed = owner.answer().cursor;
    changed[changed.size() / 2] = changed[changed.size() / 2] == 'A' ? 'B' : 'A';
    harness::http_call foreign_call{"GET", "/v1/generations/" + owner.answer().request, {}, {}};
    foreign_call.headers["Authorization"] = "Bearer wharf-key";
    foreign_call.headers["Last-Event-ID"] = changed;
    const auto answer = harness::send(system.daemon("d2"), foreign_call);
    REQUIRE(answer.ok());
    CHECK(answer->body.find("\"tokens\"") == std::string::npos);
}

TEST_CASE("concurrent generations reach their own callers when an engine dies")
{
    constexpr int callers = 12;
    deployment system(3);
    std::vector<harness::generation_call> calls;
    std::vector<generation_caller> open;
    for (int index = 0; index < callers; ++index) {
        calls.push_back(summary("log " + std::to_string(index), 100));
        open.emplace_back(calls.back());
        open.back().start(system.daemon(index % 2 == 0 ? "d1" : "d2"));
    }
    REQUIRE(open.front().read_until(10) == stream_state::flowing);
    system.fleet().kill(system.running_engine());
    for (int index = callers - 1; index >= 0; --index) {
        CHECK(open.at(index).read_to_end() == stream_state::ended);
        require_complete_answer(open.at(index), calls.at(index));
    }
}

} // namespace ej::process_tests
