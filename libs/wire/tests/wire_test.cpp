#include <wire/engine_line.h>
#include <wire/generation_request.h>
#include <wire/outcome_body.h>
#include <wire/short_request.h>
#include <wire/sse.h>

#include <catch2/catch.hpp>

namespace ej::wire {

using generation::event_kind;

namespace {

const core::attempt_number attempt{3};

} // namespace

TEST_CASE("start, tokens and end lines of an engine are parsed and unknown fields ignored")
{
    const auto start =
        parse_engine_line(R"({"start":{"attempt":3,"offset":7,"digest":9,"new":1}})", attempt);
    REQUIRE(start.ok());
    CHECK(start->kind == event_kind::opened);
    CHECK(start->offset == core::token_offset(7));
    CHECK(start->digest == core::digest(9));

    const auto tokens = parse_engine_line(R"({"offset":7,"tokens":["a","b"]})", attempt);
    REQUIRE(tokens.ok());
    CHECK(tokens->tokens == std::vector<std::string>{"a", "b"});

    CHECK(parse_engine_line(R"({"end":{"reason":"length","total":9}})", attempt)->kind ==
          event_kind::finished);
    CHECK(parse_engine_line(R"({"end":{"reason":"error","total":9}})", attempt)->kind ==
          event_kind::aborted);
}

TEST_CASE("engine lines with missing or wrongly typed fields are errors")
{
    for (const auto* line : {"", "[]", "{}", R"({"tokens":["a"]})", R"({"offset":1,"tokens":[1]})",
                             R"({"start":1})", R"({"end":[]})"}) {
        CHECK(!parse_engine_line(line, attempt).ok());
    }
}

TEST_CASE("all faults of a generation request are reported together")
{
    core::findings faults;
    (void)parse_generation_request(R"({"class":"","max_tokens":0,"delivered":[1]})", faults);
    CHECK(faults.list().size() == 4);
}

TEST_CASE("a short request keeps its body unchanged, and a path without a leading slash is a fault")
{
    core::findings faults;
    const auto good =
        parse_short_request(R"({"class":"lookups","path":"/berths/1","body":{"b":[1]}})", faults);
    CHECK(faults.empty());
    CHECK(good == short_request{core::class_id("lookups"), "/berths/1", R"({"b":[1]})"});
    (void)parse_short_request(R"({"class":"lookups","path":"berths"})", faults);
    CHECK(faults.list().size() == 1);
}

TEST_CASE("a result that is not JSON is embedded as a string")
{
    CHECK(done_body(R"({"a":1})") == R"({"outcome":"done","result":{"a":1}})");
    CHECK(done_body("free") == R"({"outcome":"done","result":"free"})");
}

TEST_CASE("a token event carries the id and escapes line breaks in tokens")
{
    const std::vector<std::string> tokens{"a\nb"};
    CHECK(tokens_event("x.1", core::token_offset(4), tokens) ==
          "id: x.1\nevent: tokens\ndata: {\"offset\":4,\"tokens\":[\"a\\nb\"]}\n\n");
}

} // namespace ej::wire
