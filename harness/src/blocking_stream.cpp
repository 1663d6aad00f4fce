#include "blocking_stream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>

namespace ej::harness {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::chrono::seconds step_timeout{90}; // Fails a test that would hang otherwise.
constexpr unsigned http_1_1 = 11;

http::request<http::string_body> make_message(const http_call& call)
{
    http::request<http::string_body> message(http::string_to_verb(call.method), call.target,
                                             http_1_1);
    for (const auto& [name, value] : call.headers) {
        message.set(name, value);
    }
    message.set(http::field::host, "test");
    message.body() = call.body;
    message.prepare_payload();
    return message;
}

} // namespace

absl::Status blocking_stream::open(const core::address& where, const http_call& call)
{
    const boost::asio::ip::tcp::endpoint peer(boost::asio::ip::make_address(where.host),
                                              where.port);
    auto connected = step([&](auto done) { stream_.async_connect(peer, done); });
    if (!connected.ok()) {
        return connected;
    }
    auto message = make_message(call);
    return step([&](auto done) {
        http::async_write(stream_, message, [done](error_code error, std::size_t) { done(error); });
    });
}

absl::Status blocking_stream::read_all(parser& into)
{
    return step([&](auto done) {
        http::async_read(stream_, buffer_, into,
                         [done](error_code error, std::size_t) { done(error); });
    });
}

absl::Status blocking_stream::read_header(parser& into)
{
    return step([&](auto done) {
        http::async_read_header(stream_, buffer_, into,
                                [done](error_code error, std::size_t) { done(error); });
    });
}

absl::Status blocking_stream::read_some(parser& into)
{
    return step([&](auto done) {
        http::async_read_some(stream_, buffer_, into,
                              [done](error_code error, std::size_t) { done(error); });
    });
}

template <class Start>
absl::Status blocking_stream::step(Start&& start)
{
    error_code result;
    stream_.expires_after(step_timeout);
    std::forward<Start>(start)([&result](error_code error) { result = error; });
    context_.restart();
    context_.run();
    return result ? absl::UnavailableError(result.message()) : absl::OkStatus();
}

} // namespace ej::harness
