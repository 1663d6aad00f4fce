#include "caller_pool.h"

#include "caller.h"
#include "crashing_part.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <stdexcept>
#include <string_view>

namespace ej::soak {

namespace {

constexpr std::size_t callers = 10;
constexpr int events = 20; // Per stream; the same count as in the engine stand-in.
constexpr std::chrono::milliseconds balancer_interval{200};
constexpr std::chrono::milliseconds pause{4};
constexpr std::array paths{"POST /act/x", "GET /read/x", "POST /gen/x"};
// On average, one request in this many opens a new connection.
constexpr int calls_per_connection = 8;
constexpr std::size_t longest_part_id = 8;

// One generation in this many has the crashing part, if engines crash on one.
constexpr int calls_per_crashing_call = 10;

/// The list of prompt parts: one that all requests share, and a last one of the request's own.
std::string parts_of(const call_record& call)
{
    const auto own = std::to_string(std::hash<std::string>{}(call.id));
    const auto crashing = call.crashing ? std::string(crashing_part) + ":90," : std::string();
    return "Endivejunction-Prompt-Prefix: 5c1e07a2:800," + crashing +
           own.substr(0, longest_part_id) + ":250\r\n";
}

std::string request_of(const call_record& call, bool with_parts)
{
    // Prompts and confirmations have distinct bodies; all reads are the same request.
    const auto body = call.kind == call_kind::read ? std::string() : "body of " + call.id;
    auto fields = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (with_parts && call.kind == call_kind::generate) {
        fields += parts_of(call);
    }
    return std::string(paths.at(static_cast<std::size_t>(call.kind))) +
           " HTTP/1.1\r\nHost: h.example\r\nEndivejunction-Attempt-Id: " + call.id +
           "\r\nAuthorization: Token k1\r\nEndivejunction-Deadline-Ms: 6000\r\n" + fields + "\r\n" +
           body;
}

/// Number of events in `answer` if their ids are 1, 2, ... without a gap; otherwise -1.
int events_in(const std::string& answer)
{
    int expected = 0;
    constexpr std::string_view mark = "id: ";
    for (auto place = answer.find(mark); place != std::string::npos;
         place = answer.find(mark, place + 1)) {
        int id = 0;
        const auto* const begin = answer.data() + place + mark.size();
        std::from_chars(begin, answer.data() + answer.size(), id);
        if (id != ++expected) {
            return -1;
        }
    }
    return expected;
}

void check_answer(call_record& call, const std::string& answer)
{
    const auto head_end = answer.find("\r\n\r\n");
    constexpr std::size_t status_at = 9;
    if (head_end == std::string::npos || answer.size() < status_at + 3) {
        return;
    }
    std::from_chars(answer.data() + status_at, answer.data() + status_at + 3, call.status);
    if (call.kind == call_kind::generate) {
        const int count = events_in(answer);
        call.complete = answer.ends_with("\r\n0\r\n\r\n");
        call.correct = call.complete ? count == events : count >= 0;
        return;
    }
    const auto body = answer.substr(head_end + 4);
    const auto wanted = "answer to " + call.id;
    call.complete = body.size() >= wanted.size();
    call.correct = call.complete ? body == wanted : wanted.starts_with(body);
}

/// Sends the request and reads its answer; true if `connection` can be reused.
bool exchange(forward_tests::caller& connection, call_record& call, bool with_parts)
{
    call.began = std::chrono::steady_clock::now();
    connection.send(request_of(call, with_parts));
    const auto answer = connection.read_answer();
    call.ended = std::chrono::steady_clock::now();
    check_answer(call, answer);
    return call.complete && answer.find("Connection: close") == std::string::npos;
}

} // namespace

caller_pool::caller_pool(const soak_fleet& system, call_log& calls, std::uint64_t seed)
    : system_(system), calls_(calls), in_rotation_(soak_fleet::daemon_count)
{
    threads_.emplace_back([this] { poll_readiness(); });
    for (std::size_t number = 0; number < callers; ++number) {
        threads_.emplace_back([this, seed, number] { run_caller(seed, number); });
    }
}

caller_pool::~caller_pool()
{
    stop();
}

void caller_pool::stop()
{
    ending_ = true;
    for (auto& one : threads_) {
        if (one.joinable()) {
            one.join();
        }
    }
}

void caller_pool::poll_readiness()
{
    while (!ending_) {
        for (std::size_t daemon = 0; daemon < soak_fleet::daemon_count; ++daemon) {
            in_rotation_[daemon] = system_.ready(daemon);
        }
        std::this_thread::sleep_for(balancer_interval);
    }
}

void caller_pool::run_caller(std::uint64_t seed, std::size_t number)
{
    std::mt19937_64 random(seed * callers + number);
    const auto draw = [&](std::size_t count) { return random() % count; };
    std::unique_ptr<forward_tests::caller> connection;
    std::size_t daemon = 0;
    for (int sent = 0; !ending_; ++sent) {
        std::this_thread::sleep_for(pause);
        if (connection != nullptr && draw(calls_per_connection) == 0) {
            connection.reset();
        }
        const bool connection_reused = connection != nullptr;
        if (!connection_reused) {
            daemon = draw(soak_fleet::daemon_count);
            if (!in_rotation_[daemon]) {
                continue;
            }
            try {
                connection = std::make_unique<forward_tests::caller>(system_.callers(daemon));
            }
            catch (const std::runtime_error&) {
                continue; // The daemon does not listen any more; nothing was sent.
            }
        }
        call_record call;
        call.id = std::to_string(number) + "-" + std::to_string(sent);
        call.kind = static_cast<call_kind>(draw(paths.size()));
        call.daemon = daemon;
        call.connection_reused = connection_reused;
        call.crashing = system_.engines_crash() && call.kind == call_kind::generate &&
                        draw(calls_per_crashing_call) == 0;
        if (!exchange(*connection, call, system_.engines_crash())) {
            connection.reset();
        }
        calls_.add(call);
    }
}

call_record call_once(const soak_fleet& system, std::size_t daemon, call_kind kind,
                      const std::string& id)
{
    call_record call;
    call.id = id;
    call.kind = kind;
    call.daemon = daemon;
    try {
        forward_tests::caller connection(system.callers(daemon));
        exchange(connection, call, system.engines_crash());
    }
    catch (const std::runtime_error&) {
        call.status = 0; // The daemon does not listen.
    }
    return call;
}

} // namespace ej::soak
