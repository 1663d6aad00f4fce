#include "connection_fixture.h"

#include <forwarding/indexed_ruleset.h>
#include <forwarding/ruleset.h>

#include <array>
#include <chrono>
#include <thread>
#include <utility>

namespace ej::front {

namespace {

constexpr std::size_t read_bytes = 4'096;

} // namespace

connection_fixture::connection_fixture(core::duration idle_timeout)
    : context(front_settings(), header_names()),
      acceptor_(lane, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    configure(idle_timeout);
    caller.connect(acceptor_.local_endpoint());
    connection =
        std::make_shared<caller_connection>(acceptor_.accept(), context, pool, waiting, callers);
    connection->start();
    run_ready();
}

void connection_fixture::configure(core::duration idle_timeout)
{
    forwarding::ruleset rules;
    rules.limits.idle_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(idle_timeout);
    context.rules.store(std::make_shared<const forwarding::indexed_ruleset>(std::move(rules)));
    context.rules_confirmed_at = core::instant::clock::now();
}

void connection_fixture::send(const std::string& text)
{
    asio::write(caller, asio::buffer(text)); // Loopback delivers before the call returns.
}

void connection_fixture::run_ready()
{
    do {
        lane.restart();
    } while (lane.poll() > 0);
}

void connection_fixture::run_one()
{
    lane.restart();
    lane.poll_one();
}

void connection_fixture::pass(core::duration time)
{
    std::this_thread::sleep_for(time);
}

std::string connection_fixture::received()
{
    std::string text;
    std::array<char, read_bytes> part{};
    error_code error;
    caller.non_blocking(true);
    run_ready();
    while (!error) {
        const auto count = caller.read_some(asio::buffer(part), error);
        text.append(part.data(), count);
        run_ready();
    }
    return text;
}

error_code connection_fixture::next_read()
{
    char byte = 0;
    error_code error;
    caller.non_blocking(true);
    caller.read_some(asio::buffer(&byte, 1), error);
    return error;
}

std::string plain_request()
{
    return "GET /x HTTP/1.1\r\nHost: h.example\r\n\r\n";
}

} // namespace ej::front
