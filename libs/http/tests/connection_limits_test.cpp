#include <http/server.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>

namespace ej::http {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t body_bytes = 200'000;

/// A server that answers each request with 200, on a thread of its own.
class running_server {
public:
    explicit running_server(const server_options& options)
    {
        server_ = *server::start(loop_.get_executor(), {"127.0.0.1", 0}, options,
                                 [](std::shared_ptr<exchange> incoming) -> asio::awaitable<void> {
                                     const response answer{200, {}, "done"};
                                     static_cast<void>(co_await incoming->respond(answer));
                                 });
        thread_ = std::thread([this] { loop_.run(); });
    }
    ~running_server()
    {
        loop_.stop();
        thread_.join();
    }
    running_server(const running_server&) = delete;
    running_server& operator=(const running_server&) = delete;
    running_server(running_server&&) = delete;
    running_server& operator=(running_server&&) = delete;

    [[nodiscard]] tcp::endpoint address() const
    {
        return {asio::ip::address_v4::loopback(), server_->local().port};
    }

private:
    asio::io_context loop_;
    std::unique_ptr<server> server_;
    std::thread thread_;
};

class blocking_client {
public:
    explicit blocking_client(const tcp::endpoint& where) { socket_.connect(where); }

    void send(const std::string& text)
    {
        boost::system::error_code ignored; // Shows when the answer is read.
        asio::write(socket_, asio::buffer(text), ignored);
    }

    /// The first line of the next answer; empty if the server has closed the connection.
    std::string status_line()
    {
        std::string text;
        boost::system::error_code error;
        const auto size = asio::read_until(socket_, asio::dynamic_buffer(text), "\r\n\r\n", error);
        return error ? std::string() : text.substr(0, std::min(size, text.find("\r\n")));
    }

private:
    asio::io_context context_;
    tcp::socket socket_{context_};
};

const std::string get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string unfinished_post =
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
    std::string(body_bytes - 1, 'x');

} // namespace

TEST_CASE("a server with one connection too many closes the one that has waited longest")
{
    server_options options;
    options.max_connections = 2;
    const running_server server(options);
    blocking_client first(server.address());
    first.send(get);
    CHECK(first.status_line() == "HTTP/1.1 200 OK");
    blocking_client second(server.address());
    second.send(get);
    CHECK(second.status_line() == "HTTP/1.1 200 OK");
    blocking_client third(server.address());
    third.send(get);
    CHECK(third.status_line() == "HTTP/1.1 200 OK");
    CHECK(first.status_line().empty());
}

TEST_CASE("a server refuses the oldest unfinished request once requests hold too much memory")
{
    server_options options;
    options.max_body_bytes = body_bytes;
    options.request_memory = 1; // One request of the largest size fits all the same.
    const running_server server(options);
    blocking_client first(server.address());
    first.send(unfinished_post);
    blocking_client second(server.address());
    second.send(unfinished_post);
    blocking_client third(server.address());
    third.send(unfinished_post);
    CHECK(first.status_line() == "HTTP/1.1 503 Service Unavailable");
    third.send("x");
    CHECK(third.status_line() == "HTTP/1.1 200 OK");
}

} // namespace ej::http
