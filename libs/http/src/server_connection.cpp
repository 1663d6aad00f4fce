#include "server_connection.h"

#include "convert.h"
#include "read_header.h"

#include <algorithm>
#include <array>

namespace ej::http {

namespace {

constexpr unsigned http_version = 11;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_implemented = 501;
constexpr unsigned status_unavailable = 503;
// The connection itself, its coroutines and its entries in tables.
constexpr std::size_t connection_bytes = 8'192;
constexpr std::size_t watch_buffer_bytes = 256;

absl::Status write_status(const boost::system::error_code& error)
{
    if (!error) {
        return absl::OkStatus();
    }
    if (error == beast::error::timeout) {
        return absl::DeadlineExceededError("caller does not read");
    }
    return absl::AbortedError("caller has disconnected: " + error.message());
}

wire::response<wire::string_body> to_wire(const response& answer, bool keep_alive)
{
    wire::response<wire::string_body> message;
    message.version(http_version);
    message.result(answer.status);
    std::ranges::for_each(answer.headers,
                          [&](const header& field) { message.insert(field.name, field.value); });
    message.keep_alive(keep_alive);
    message.body() = answer.body;
    message.prepare_payload();
    return message;
}

} // namespace

server_connection::server_connection(tcp::socket socket, asio::any_io_executor strand,
                                     server_options options,
                                     std::shared_ptr<connection_table> table)
    : strand_(std::move(strand)), stream_(std::move(socket)), options_(options),
      table_(std::move(table))
{
}

server_connection::~server_connection()
{
    table_->remove(number_);
}

asio::awaitable<void> server_connection::serve(server::handler handle)
{
    const auto self = shared_from_this();
    number_ = table_->add(self);
    boost::system::error_code error;
    stream_.socket().set_option(tcp::no_delay(true), error);
    do {
        if (!co_await read_request()) {
            co_return;
        }
        co_await handle(self);
    } while (keep_alive_ && !streaming_ && !disconnected_ && !shed_);
    stream_.socket().shutdown(tcp::socket::shutdown_both, error);
    stream_.socket().close(error);
}

asio::awaitable<bool> server_connection::read_request()
{
    boost::system::error_code error;
    waiting_since_ = core::instant::clock::now();
    report_holding(pressure::close_order::waiting, 0);
    if (buffer_.size() == 0) {
        stream_.expires_after(options_.idle_timeout);
        constexpr std::size_t first_read_bytes = 4096;
        const auto read =
            co_await stream_.async_read_some(buffer_.prepare(first_read_bytes), no_throw(error));
        buffer_.commit(read);
        if (error) {
            co_return false;
        }
    }
    wire::request_parser<wire::string_body> parser;
    parser.body_limit(options_.max_body_bytes);
    stream_.expires_after(options_.request_timeout);
    framing_check check;
    error = co_await read_header(stream_, buffer_, parser, check);
    std::vector<header> headers;
    if (!error) {
        headers = to_headers(parser.get()); // Before trailer fields are added.
        keep_alive_ = parser.keep_alive();
        error = co_await read_body(parser);
    }
    if (error) {
        co_await refuse(error, check.fault());
        co_return false;
    }
    auto message = parser.release();
    received_ = request{std::string(message.method_string()), std::string(message.target()),
                        std::move(headers), std::move(message.body())};
    report_holding(pressure::close_order::never, received_.body.capacity());
    co_return true;
}

asio::awaitable<boost::system::error_code>
server_connection::read_body(wire::request_parser<wire::string_body>& parser)
{
    boost::system::error_code error;
    while (!error && !parser.is_done() && !shed_) {
        co_await wire::async_read_some(stream_, buffer_, parser, no_throw(error));
        report_holding(pressure::close_order::waiting, parser.get().body().capacity());
    }
    if (shed_ && !parser.is_done()) {
        error = asio::error::operation_aborted;
    }
    co_return error;
}

void server_connection::report_holding(pressure::close_order order, std::size_t request_bytes)
{
    order_ = order;
    table_->update(number_,
                   {connection_bytes + buffer_.capacity() + request_bytes, waiting_since_, order});
}

void server_connection::shed_later()
{
    asio::post(strand_, [self = shared_from_this()] {
        if (self->order_ != pressure::close_order::never) {
            self->shed_ = true;
            self->stream_.cancel();
        }
    });
}

asio::awaitable<void> server_connection::refuse(boost::system::error_code error,
                                                framing_fault fault)
{
    keep_alive_ = false;
    response answer{status_bad_request, {}, "request is not HTTP\n"};
    if (shed_) {
        answer = {status_unavailable, {{"Retry-After", "1"}}, "overload\n"};
    }
    else if (error == wire::error::body_limit || error == wire::error::header_limit ||
             error == wire::error::buffer_overflow) {
        answer = {status_too_large, {}, "request is too large\n"};
    }
    else if (fault == framing_fault::unknown_coding) {
        answer = {status_not_implemented, {}, "transfer coding is not known\n"};
    }
    else if (error.category() != wire::make_error_code(wire::error::bad_method).category() ||
             error == wire::error::end_of_stream || error == wire::error::partial_message) {
        co_return; // The connection has ended.
    }
    co_await respond(std::move(answer));
}

asio::awaitable<absl::Status> server_connection::respond(response answer)
{
    auto message = to_wire(answer, keep_alive_);
    boost::system::error_code error;
    waiting_since_ = core::instant::clock::now();
    report_holding(pressure::close_order::waiting, message.body().size());
    stream_.expires_after(options_.write_timeout);
    co_await wire::async_write(stream_, message, no_throw(error));
    if (error) {
        disconnected_ = true;
    }
    co_return write_status(error);
}

asio::awaitable<absl::Status> server_connection::start_stream(std::vector<header> headers)
{
    streaming_ = true;
    wire::response<wire::empty_body> message;
    message.version(http_version);
    message.result(wire::status::ok);
    std::ranges::for_each(headers,
                          [&](const header& field) { message.insert(field.name, field.value); });
    message.chunked(true);
    message.keep_alive(false);
    wire::response_serializer<wire::empty_body> serializer(message);
    boost::system::error_code error;
    stream_.expires_after(options_.write_timeout);
    co_await wire::async_write_header(stream_, serializer, no_throw(error));
    if (error) {
        on_caller_disconnected();
        co_return write_status(error);
    }
    stream_.expires_never();
    const auto strand = co_await asio::this_coro::executor;
    asio::co_spawn(
        strand,
        [self = shared_from_this()]() -> asio::awaitable<void> { return self->watch_caller(); },
        asio::detached);
    co_return absl::OkStatus();
}

// Reads for as long as an answer is streamed: the read fails only when the caller disconnects.
asio::awaitable<void> server_connection::watch_caller()
{
    const auto self = shared_from_this();
    std::array<char, watch_buffer_bytes> ignored{};
    boost::system::error_code error;
    while (!error) {
        co_await stream_.async_read_some(asio::buffer(ignored), no_throw(error));
    }
    on_caller_disconnected();
}

void server_connection::on_caller_disconnected()
{
    disconnected_ = true;
    if (auto action = std::exchange(on_disconnect_, nullptr)) {
        action();
    }
}

asio::awaitable<absl::Status> server_connection::write(std::string part)
{
    if (disconnected_) {
        co_return absl::AbortedError("caller has disconnected");
    }
    boost::system::error_code error;
    stream_.expires_after(options_.write_timeout);
    const auto chunk = wire::make_chunk(asio::buffer(part));
    co_await asio::async_write(stream_, chunk, no_throw(error));
    if (error) {
        on_caller_disconnected();
    }
    co_return write_status(error);
}

asio::awaitable<absl::Status> server_connection::finish()
{
    if (disconnected_) {
        co_return absl::AbortedError("caller has disconnected");
    }
    on_disconnect_ = nullptr;
    boost::system::error_code error;
    stream_.expires_after(options_.write_timeout);
    const auto chunk = wire::make_chunk_last();
    co_await asio::async_write(stream_, chunk, no_throw(error));
    co_return write_status(error);
}

void server_connection::on_disconnect(std::function<void()> action)
{
    if (disconnected_) {
        action();
        return;
    }
    on_disconnect_ = std::move(action);
}

} // namespace ej::http
