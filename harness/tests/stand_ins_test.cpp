#include <harness/fleet.h>
#include <harness/http_client.h>

#include <stand_ins/token_text.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sstream>

namespace ej::harness {

namespace {

using json = nlohmann::json;

std::vector<json> lines_of(const std::string& body)
{
    std::vector<json> lines;
    std::istringstream stream(body);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(json::parse(line));
    }
    return lines;
}

std::string text_of(const std::vector<json>& lines)
{
    std::string text;
    for (const json& line : lines) {
        for (const json& token : line.value("tokens", json::array())) {
            text += token.get<std::string>();
        }
    }
    return text;
}

http_result post(const node& to, const std::string& target, const json& body)
{
    const auto result = send(to.caller, http_call{"POST", target, {}, body.dump()});
    REQUIRE(result.ok());
    return *result;
}

} // namespace

TEST_CASE("an engine that continues from a prefix produces the same text as without one")
{
    fleet fleet;
    const node& engine = fleet.start(stand_in_settings{"engine", "e1", "recife", "s", {}});
    const auto prefix = stand_ins::answer_text("log", 3);
    const json order{{"request", "r"},   {"attempt", 1},          {"prompt", "log"},
                     {"max_tokens", 10}, {"prefix_text", prefix}, {"prefix_tokens", 3}};
    const auto lines = lines_of(post(engine, "/generate", order).body);
    CHECK(prefix + text_of(lines) == stand_ins::answer_text("log", 10));
    CHECK(lines.front()["start"]["offset"] == 3);
    CHECK(lines.back()["end"] == json{{"reason", "length"}, {"total", 10}});

    const json attach{{"request", "r"}, {"attempt", 1}, {"offset", 7}};
    const auto rest = text_of(lines_of(post(engine, "/attach", attach).body));
    CHECK(stand_ins::answer_text("log", 7) + rest == stand_ins::answer_text("log", 10));
    CHECK(post(engine, "/generate", order).status == 409);
}

TEST_CASE("an engine with die_after_tokens 4 breaks the connection and exits with code 137")
{
    fleet fleet;
    const node& engine = fleet.start(
        stand_in_settings{"engine", "e1", "recife", "s", {"--tokens-per-second", "100"}});
    fleet.fault("e1", {{"die_after_tokens", 4}});
    const json order{{"request", "r"}, {"attempt", 1}, {"prompt", "log"}, {"max_tokens", 1'000}};
    CHECK_FALSE(send(engine.caller, http_call{"POST", "/generate", {}, order.dump()}).ok());
    CHECK(fleet.wait("e1") == 137);
}

TEST_CASE("the platform rejects a wrong revision, and loses answers and rewinds data on request")
{
    fleet fleet;
    const node& platform = fleet.at(fleet::platform_name);
    const auto put = [&](int revision, const std::string& value) {
        const http_call call{"PUT", "/kv/k?if_revision=" + std::to_string(revision), {}, value};
        return send(platform.caller, call);
    };
    CHECK(put(0, "a")->status == 200);
    CHECK(put(0, "b")->status == 409);
    fleet.fault(fleet::platform_name, {{"lose_answers", 1}});
    CHECK_FALSE(put(1, "c").ok());
    CHECK(fleet.read(fleet::platform_name, "/kv/k") == json{{"value", "c"}, {"revision", 2}});
    fleet.fault(fleet::platform_name, {{"rewind_to", 1}});
    CHECK(fleet.read(fleet::platform_name, "/kv/k") == json{{"value", "a"}, {"revision", 1}});
    CHECK(json::parse(put(1, "d")->body) == json{{"revision", 3}});
}

TEST_CASE("a key is removed when its lease expires, and a pending watch returns its absence")
{
    fleet fleet;
    const node& platform = fleet.at(fleet::platform_name);
    const auto lease = json::parse(post(platform, "/leases", {{"ttl_ms", 100}}).body)["lease"];
    const auto target = "/kv/k?if_revision=0&lease=" + lease.get<std::string>();
    CHECK(send(platform.caller, http_call{"PUT", target, {}, "held"})->status == 200);
    const auto gone =
        send(platform.caller, http_call{"GET", "/kv/k?after=1&wait_ms=20000", {}, {}});
    REQUIRE(gone.ok());
    CHECK(*gone == http_result{404, R"({"revision":2})"});
}

} // namespace ej::harness
