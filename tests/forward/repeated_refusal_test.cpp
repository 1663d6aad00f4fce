#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::event_chunk;
using fleet::header_value;
using fleet::signed_answer;
using fleet::step;
using fleet::step_kind;
using fleet::stream_head;
using std::chrono::milliseconds;

const std::string not_executed_field = "Endivejunction-Not-Executed: 1\r\n";

// Time in which the daemon would act on the repeated refusal.
constexpr milliseconds time_to_act{60};

std::string refusal(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + not_executed_field +
           "Content-Length: 0\r\n\r\n";
}

std::string refusal_with_id(const std::string& request, int status)
{
    return signed_answer(request, status, "", not_executed_field);
}

std::string whole_stream(const std::string& request)
{
    return stream_head(request) + event_chunk(1) + event_chunk(2) + fleet::last_chunk();
}

std::string answer_of(const std::string& request)
{
    return request.starts_with("POST /gen/") ? whole_stream(request)
                                             : signed_answer(request, 200, "done");
}

std::vector<step> serve(const std::string& request, int)
{
    return {{step_kind::send, answer_of(request)}};
}

/// The text of the answer to a request.
using answer_writer = std::function<std::string(const std::string& request)>;

/// Refuses its first request, or answers it otherwise, and keeps the connection. Every later
/// request runs, but on that connection the answer of the first is written once more before its
/// own.
class refusing_endpoint {
public:
    /// `first_refusal` is the answer to the first request; if it is empty, a refusal that echoes
    /// the request's id is.
    explicit refusing_endpoint(const std::string& first_refusal)
        : refusing_endpoint([first_refusal](const std::string& request) {
              return first_refusal.empty() ? refusal_with_id(request, 503) : first_refusal;
          })
    {
    }

    explicit refusing_endpoint(answer_writer first_answer)
        : write_first_(std::move(first_answer)),
          endpoint(
              [this](const std::string& request, int number) { return answer(request, number); })
    {
    }

private:
    std::vector<step> answer(const std::string& request, int number)
    {
        if (number == 0) {
            refusal_ = write_first_(request);
            return {{step_kind::send, refusal_}};
        }
        if (endpoint.connections() > 1) {
            return serve(request, number); // The first connection is no longer used.
        }
        return {{step_kind::send, refusal_},
                {step_kind::wait, "", time_to_act},
                {step_kind::send, answer_of(request)}};
    }

    answer_writer write_first_;
    std::string refusal_;

public:
    endpoint_stand_in endpoint;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

bool is_refusal(const std::string& answer)
{
    return std::ranges::any_of(
        std::vector<std::string>{" 408 ", " 421 ", " 429 ", " 503 "},
        [&](const std::string& one) { return contains(answer.substr(0, 16), one); });
}

std::ptrdiff_t sends_of(const endpoint_stand_in& endpoint, const std::string& id)
{
    return std::ranges::count_if(endpoint.requests(), [&](const std::string& one) {
        return header_value(one, "Endivejunction-Attempt-Id") == id;
    });
}

/// Sends "first", which the only endpoint refuses, and then "second" on the same connection.
std::string second_answer(daemon_fixture& fixture, const std::string& method,
                          const std::string& path)
{
    caller connection(fixture.listen_address());
    connection.send(request(method, path, "first", "b"));
    static_cast<void>(connection.read_answer());
    connection.send(request(method, path, "second", "b"));
    return connection.read_answer();
}

} // namespace

TEST_CASE("a refusal without an id that is repeated on a kept connection does not refuse a request "
          "that runs")
{
    daemon_fixture fixture;
    const auto status = GENERATE(503, 429, 421, 400);
    refusing_endpoint faulty{refusal(status)};
    fixture.add("i-1", "app", faulty.endpoint);
    fixture.configure_and_start(1);
    INFO(status);
    const auto answer = second_answer(fixture, "POST", "/act/x");
    CHECK(sends_of(faulty.endpoint, "second") == 1);
    CHECK_FALSE(is_refusal(answer));
}

TEST_CASE("a refusal without an id that is repeated on a kept connection does not send a "
          "non-idempotent request to a second endpoint")
{
    daemon_fixture fixture;
    const auto serve_after_refusal = [](const std::string& text, int number) -> std::vector<step> {
        const auto before = number == 1 ? refusal(503) : std::string();
        return {{step_kind::send, before},
                {step_kind::wait, "", time_to_act},
                {step_kind::send, signed_answer(text, 200, "done")}};
    };
    const endpoint_stand_in first(serve_after_refusal);
    const endpoint_stand_in second(serve_after_refusal);
    fixture.add("i-1", "app", first);
    fixture.add("i-2", "app", second, "z2");
    fixture.configure_and_start(2);
    caller connection(fixture.listen_address());
    for (int number = 0; number < 6; ++number) {
        const auto id = "id" + std::to_string(number);
        INFO(id);
        connection.send(request("POST", "/act/x", id, "b"));
        CHECK_FALSE(is_refusal(connection.read_answer()));
        CHECK(sends_of(first, id) + sends_of(second, id) == 1);
    }
}

TEST_CASE("a refusal of another request that is repeated on a kept connection is skipped")
{
    daemon_fixture fixture;
    refusing_endpoint faulty{std::string()};
    fixture.add("i-1", "app", faulty.endpoint);
    fixture.configure_and_start(1);
    const auto path = GENERATE(std::string("/act/x"), std::string("/read/x"));
    const auto answer = second_answer(fixture, "POST", path);
    CHECK(faulty.endpoint.connections() == 1);
    CHECK(sends_of(faulty.endpoint, "second") == 1);
    CHECK(contains(answer, " 200 "));
    CHECK(contains(answer, "Endivejunction-Attempt-Id: second\r\n"));
}

TEST_CASE("an idempotent request is not refused while a refusal without an id is repeated before "
          "its answer")
{
    daemon_fixture fixture;
    refusing_endpoint faulty{refusal(503)};
    fixture.add("i-1", "app", faulty.endpoint);
    fixture.configure_and_start(1);
    CHECK_FALSE(is_refusal(second_answer(fixture, "POST", "/read/x")));
}

TEST_CASE("a stream that was refused is sent to the same engine on a new connection, where the "
          "refusal cannot be repeated")
{
    daemon_fixture fixture;
    refusing_endpoint faulty{std::string()};
    fixture.add("i-1", "llm", faulty.endpoint);
    fixture.configure_and_start(1);
    caller connection(fixture.listen_address());
    connection.send(request("POST", "/gen/x", "s1", "prompt"));
    const auto answer = connection.read_answer();
    CHECK(contains(answer, "word2"));
    CHECK(answer.ends_with("0\r\n\r\n"));
    CHECK(sends_of(faulty.endpoint, "s1") == 2); // The refused one and the one that ran.
}

TEST_CASE("a refusal without an id that is repeated on a kept connection does not refuse a stream "
          "that runs")
{
    daemon_fixture fixture;
    refusing_endpoint faulty{refusal(503)};
    fixture.add("i-1", "llm", faulty.endpoint);
    fixture.configure(1, R"(,{"name":"whole","host":"h.example","prefix":"/whole/","kind":)"
                         R"("idempotent","timeoutMs":2000,"service":"llm","maxAttempts":1},)"
                         R"({"name":"once","host":"h.example","prefix":"/gen/once/","kind":)"
                         R"("streaming","timeoutMs":2000,"service":"llm","maxAttempts":1})");
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(1));
    caller connection(fixture.listen_address());
    connection.send(request("POST", "/whole/x", "first", "b"));
    REQUIRE(contains(connection.read_answer(), " 503 "));
    connection.send(request("POST", "/gen/once/x", "second", "b"));
    CHECK_FALSE(is_refusal(connection.read_answer()));
    CHECK(sends_of(faulty.endpoint, "second") == 1);
}

// TWICE, REFUSED: a late copy of a request's refusal was taken for the answer to its next send.
TEST_CASE("a refusal that is repeated late is not taken for the answer to the next send of its "
          "request")
{
    daemon_fixture fixture;
    refusing_endpoint faulty([](const std::string& request) {
        return signed_answer(request, 503, "", not_executed_field + "Retry-After: 0.05\r\n");
    });
    fixture.add("i-1", "app", faulty.endpoint);
    fixture.configure_and_start(1);
    const auto path = GENERATE(std::string("/act/x"), std::string("/read/x"));
    caller connection(fixture.listen_address());
    connection.send(request("POST", path, "id1", "b"));
    CHECK(contains(connection.read_answer(), " 200 "));
    CHECK(sends_of(faulty.endpoint, "id1") == 2); // The refused one and the one that ran.
}

// MIXED: an answer was taken for that of another request that its caller gave the same id.
TEST_CASE("an answer that is repeated late is not taken for that of a request under the same id")
{
    daemon_fixture fixture;
    refusing_endpoint faulty([](const std::string& request) {
        return signed_answer(request, 200, "of the first request");
    });
    fixture.add("i-1", "app", faulty.endpoint);
    fixture.configure_and_start(1);
    for (const auto* const expected : {"of the first request", "done"}) {
        caller connection(fixture.listen_address());
        connection.send(request("POST", "/act/x", "id1", "b"));
        CHECK(connection.read_answer().ends_with(expected));
    }
}

TEST_CASE("a connection on which an answer was repeated carries no further request")
{
    daemon_fixture fixture;
    refusing_endpoint faulty{std::string()};
    fixture.add("i-1", "app", faulty.endpoint);
    fixture.configure_and_start(1);
    CHECK(contains(second_answer(fixture, "POST", "/act/x"), " 200 "));
    REQUIRE(faulty.endpoint.connections() == 1);
    caller connection(fixture.listen_address());
    connection.send(request("POST", "/act/x", "third", "b"));
    CHECK(contains(connection.read_answer(), " 200 "));
    CHECK(faulty.endpoint.connections() == 2);
}

TEST_CASE("a misdirected status without a not-executed field does not send a non-idempotent "
          "request to a second endpoint")
{
    daemon_fixture fixture;
    const auto misdirected = [](const std::string& text, int) -> std::vector<step> {
        return {{step_kind::send, signed_answer(text, 421, "")}};
    };
    const endpoint_stand_in first(misdirected);
    const endpoint_stand_in second(misdirected);
    fixture.add("i-1", "app", first);
    fixture.add("i-2", "app", second, "z2");
    fixture.configure_and_start(2);
    caller connection(fixture.listen_address());
    connection.send(request("POST", "/act/x", "id1", "b"));
    CHECK_FALSE(is_refusal(connection.read_answer()));
    CHECK(sends_of(first, "id1") + sends_of(second, "id1") == 1);
}

} // namespace ej::forward_tests
