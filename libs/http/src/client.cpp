#include "beast.h"
#include "client_connection.h"
#include "convert.h"
#include "read_header.h"

#include <http/answer_deadline.h>
#include <http/client.h>

#include <concurrency/sharded.h>

#include <algorithm>
#include <string>
#include <vector>

namespace ej::http {

namespace {

// Enough for a burst to one endpoint; further connections are closed after their answer.
constexpr std::size_t max_idle_per_address = 32;

using connection_ptr = std::shared_ptr<client_connection>;

/// True if the connection is open and the server has neither closed it nor sent unrequested data.
bool usable(client_connection& connection)
{
    auto& socket = connection.stream.socket();
    if (!socket.is_open() || connection.buffer.size() != 0) {
        return false;
    }
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

struct client::pool {
    using idle_list = std::vector<connection_ptr>;

    concurrency::sharded<std::string, idle_list> lists;
    asio::any_io_executor executor;

    explicit pool(asio::any_io_executor base) : executor(std::move(base)) {}

    /// A usable idle connection to `address`; null if there is none. The peek runs outside the
    /// lock.
    connection_ptr take_idle(const std::string& address)
    {
        for (;;) {
            auto connection = lists.with(address, [&](auto& entries) {
                auto& list = entries[address];
                if (list.empty()) {
                    return connection_ptr{};
                }
                auto last = std::move(list.back());
                list.pop_back();
                return last;
            });
            if (connection == nullptr || usable(*connection)) {
                return connection;
            }
        }
    }

    void put_back(const std::string& address, connection_ptr connection)
    {
        lists.with(address, [&](auto& entries) {
            auto& list = entries[address];
            if (list.size() < max_idle_per_address) {
                list.push_back(std::move(connection));
            }
        });
    }
};

client::client(boost::asio::any_io_executor executor)
    : pool_(std::make_shared<pool>(std::move(executor)))
{
}

client::~client() = default;

namespace {

using answer_parser = wire::response_parser<wire::string_body>;

/// Reads an answer; returns the error of the last read. `headers` are those of its header. The
/// header is read by itself, since Beast's parser forgets that the announced length exceeds the
/// limit as soon as it reads on into the body, and adds trailer fields to the header.
asio::awaitable<boost::system::error_code> read_answer(connection_ptr connection,
                                                       answer_parser& parser,
                                                       answer_deadline deadline,
                                                       std::vector<header>& headers)
{
    auto& stream = connection->stream;
    stream.expires_at(deadline.for_header());
    framing_check check;
    auto error = co_await read_header(stream, connection->buffer, parser, check);
    headers = to_headers(parser.get());
    const auto header_at = std::chrono::steady_clock::now();
    while (!error && !parser.is_done()) {
        const auto received = parser.get().body().size();
        const auto now = std::chrono::steady_clock::now();
        stream.expires_at(deadline.for_body(header_at, received, now));
        co_await wire::async_read_some(stream, connection->buffer, parser, no_throw(error));
    }
    co_return error;
}

/// Sends the request and reads the answer on the connection's strand.
asio::awaitable<absl::StatusOr<response>>
exchange_messages(connection_ptr connection, core::address destination, request outgoing,
                  answer_deadline deadline, std::size_t max_body_bytes)
{
    boost::system::error_code error;
    auto message = to_wire(outgoing, destination);
    connection->stream.expires_at(deadline.for_header());
    co_await wire::async_write(connection->stream, message, no_throw(error));
    if (error) {
        co_return failure_status(error);
    }
    answer_parser parser;
    parser.body_limit(max_body_bytes);
    std::vector<header> headers;
    error = co_await read_answer(connection, parser, deadline, headers);
    if (error) {
        co_return failure_status(error);
    }
    connection->reusable = parser.keep_alive();
    connection->stream.expires_never();
    auto received = parser.release();
    co_return response{received.result_int(), std::move(headers), std::move(received.body())};
}

/// Connects a new connection first, then exchanges the messages.
asio::awaitable<absl::StatusOr<response>> call(connection_ptr connection, core::address destination,
                                               request outgoing, call_options options,
                                               core::instant deadline)
{
    if (!connection->stream.socket().is_open()) {
        auto connected = co_await connect(connection, destination, options.connect_timeout);
        if (!connected.ok()) {
            co_return connected;
        }
    }
    if (std::chrono::steady_clock::now() >= deadline) {
        co_return absl::UnavailableError("deadline passed before sending");
    }
    const answer_deadline waits(deadline, options.pace);
    co_return co_await exchange_messages(connection, destination, std::move(outgoing), waits,
                                         options.max_body_bytes);
}

} // namespace

asio::awaitable<absl::StatusOr<response>> client::fetch(core::address destination, request outgoing,
                                                        call_options options)
{
    const auto idle = pool_;
    const auto deadline = std::chrono::steady_clock::now() + options.deadline;
    options.connect_timeout = std::min(options.connect_timeout, options.deadline);
    const auto key = core::to_string(destination);
    auto connection = options.reuse_connection ? idle->take_idle(key) : nullptr;
    if (connection == nullptr) {
        connection = std::make_shared<client_connection>(asio::make_strand(idle->executor));
    }
    auto answer = co_await asio::co_spawn(
        connection->executor, call(connection, destination, std::move(outgoing), options, deadline),
        asio::use_awaitable);
    if (answer.ok() && connection->reusable) {
        idle->put_back(key, std::move(connection));
    }
    co_return answer;
}

} // namespace ej::http
