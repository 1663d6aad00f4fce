#include "caller.h"
#include "daemon_fixture.h"

#include <fleet/flooding_endpoint.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::flooding_endpoint;
using fleet::signed_answer;
using fleet::step;
using fleet::step_kind;
using std::chrono::milliseconds;

/// Bytes that an endpoint writes until its caller closes.
struct flood {
    std::string name;
    std::string head; ///< "$id" stands for the request's id.
    std::string part;
    milliseconds interval{};
};

const std::string signature_fields =
    "Endivejunction-Attempt-Id: $id\r\nEndivejunction-Response-Signature: s\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string other_id = "Endivejunction-Attempt-Id: other\r\n";
const std::string chunk_of_text = "10\r\n0123456789abcdef\r\n";

flooding_endpoint::beginning beginning_of(const flood& one)
{
    return [head = one.head](const std::string& request) {
        auto text = head;
        const auto place = text.find("$id");
        return place == std::string::npos
                   ? text
                   : text.replace(place, 3,
                                  fleet::header_value(request, "Endivejunction-Attempt-Id"));
    };
}

void add(daemon_fixture& fixture, const std::string& name, const std::string& service,
         const flooding_endpoint& endpoint)
{
    fixture.store.put("servers/" + name,
                      fleet::registration(service, endpoint.address(), "z1", "ready", 1));
}

std::string answer_to(const daemon_fixture& fixture, const std::string& path)
{
    caller connection(fixture.listen_address());
    connection.send(request("POST", path, "id1", "b"));
    return connection.read_answer();
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

flood any_flood()
{
    return GENERATE(
        flood{"bytes that are no answer", "", "x"}, flood{"empty lines", "", "\r\n"},
        flood{"spaces", "", " "}, flood{"fields of a head", ok, "A: b\r\n"},
        flood{"a field without an end", ok + "A: ", "b"},
        flood{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        flood{"answers to other requests", "", ok + other_id + "Content-Length: 2\r\n\r\nno"},
        flood{"the body of an answer to another request", ok + other_id + chunked, chunk_of_text},
        flood{"an unsigned body", ok + chunked, chunk_of_text},
        flood{"an unsigned body, slowly", ok + "\r\n", "x", milliseconds(20)},
        flood{"a signed body", ok + signature_fields + chunked, chunk_of_text},
        flood{"a signed body without a length", ok + signature_fields + "\r\n", "x"},
        flood{"a chunk extension", ok + signature_fields + chunked + "4;", "a"},
        flood{"a trailer", ok + signature_fields + chunked + "0\r\n", "A: b\r\n"},
        flood{"the body of a failure", "HTTP/1.1 500 X\r\n" + signature_fields + "\r\n", "x"},
        flood{"the body of a refusal",
              "HTTP/1.1 503 X\r\nEndivejunction-Not-Executed: 1\r\n" + signature_fields + "\r\n",
              "x"});
}

} // namespace

TEST_CASE("a non-idempotent call fails before its deadline when its endpoint writes without end")
{
    daemon_fixture fixture;
    const auto one = any_flood();
    INFO(one.name);
    const flooding_endpoint endpoint(beginning_of(one), one.part, one.interval);
    add(fixture, "i-1", "app", endpoint);
    fixture.configure_and_start(1);
    CHECK(contains(answer_to(fixture, "/act/x"), " 502 "));
    CHECK(daemon_fixture::wait_until([&] { return endpoint.closed() == endpoint.requests(); }));
    CHECK(endpoint.requests() == 1);
}

TEST_CASE("an idempotent call is answered by a second endpoint when the first writes without end")
{
    daemon_fixture fixture;
    const auto one = any_flood();
    INFO(one.name);
    const flooding_endpoint endpoint(beginning_of(one), one.part, one.interval);
    const endpoint_stand_in sound([](const std::string& text, int) -> std::vector<step> {
        return {{step_kind::send, signed_answer(text, 200, "done")}};
    });
    add(fixture, "i-1", "app", endpoint);
    fixture.add("i-2", "app", sound, "z2");
    fixture.configure_and_start(2);
    CHECK(contains(answer_to(fixture, "/read/x"), " 200 "));
    CHECK(daemon_fixture::wait_until([&] { return endpoint.closed() == endpoint.requests(); }));
}

TEST_CASE("a stream is served by a second engine when the first writes without end")
{
    daemon_fixture fixture;
    const auto one =
        GENERATE(any_flood(), flood{"an event without an end, slowly",
                                    ok + signature_fields + "\r\ndata: ", "x", milliseconds(20)});
    INFO(one.name);
    const flooding_endpoint endpoint(beginning_of(one), one.part, one.interval);
    const endpoint_stand_in sound([](const std::string& text, int) -> std::vector<step> {
        return {{step_kind::send,
                 fleet::stream_head(text) + fleet::event_chunk(1) + fleet::last_chunk()}};
    });
    add(fixture, "i-1", "llm", endpoint);
    fixture.add("i-2", "llm", sound, "z2");
    fixture.configure_and_start(2);
    const auto answer = answer_to(fixture, "/gen/x");
    CHECK(contains(answer, "word1"));
    CHECK(answer.ends_with("0\r\n\r\n"));
    CHECK(daemon_fixture::wait_until([&] { return endpoint.closed() == endpoint.requests(); }));
}

} // namespace ej::forward_tests
