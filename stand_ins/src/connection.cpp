#include "connection.h"

#include "json_reply.h"
#include "url.h"

#include <utility>

#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace ej::stand_ins {

namespace {

namespace http = boost::beast::http;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

constexpr std::uint64_t body_limit_bytes = 8ULL << 20;

std::string lower(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
    return result;
}

std::string head(unsigned status, bool not_run, const std::string& framing)
{
    return "HTTP/1.1 " + std::to_string(status) + ' ' +
           std::string(http::obsolete_reason(http::int_to_status(status))) +
           "\r\nContent-Type: application/json\r\n" + (not_run ? "Not-Run: true\r\n" : "") +
           framing + "\r\n\r\n";
}

std::string whole_answer(const http_reply& reply)
{
    const auto length = "Content-Length: " + std::to_string(reply.body.size());
    return head(reply.status, reply.not_run, length) + reply.body;
}

std::string chunk(const std::string& text)
{
    std::array<char, 17> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), text.size(), 16).ptr;
    return std::string(size.data(), end) + "\r\n" + text + "\r\n";
}

} // namespace

connection::connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<service> role,
                       std::shared_ptr<fault_control> control)
    : socket_(std::move(socket)), role_(std::move(role)), control_(std::move(control)),
      opened_epoch_(control_->silent_epoch())
{
}

boost::asio::awaitable<void> connection::run()
{
    socket_.set_option(boost::asio::ip::tcp::no_delay(true));
    while (open_) {
        co_await read();
        co_await serve_call();
    }
}

boost::asio::awaitable<void> connection::read()
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(body_limit_bytes);
    co_await http::async_read(socket_, buffer_, parser, use_awaitable);
    const auto& message = parser.get();
    request_ = http_request{};
    request_.method = std::string(message.method_string());
    request_.body = message.body();
    parse_target(std::string_view(message.target().data(), message.target().size()), request_);
    for (const auto& field : message) {
        request_.headers[lower({field.name_string().data(), field.name_string().size()})] =
            std::string(field.value());
    }
    open_ = message.keep_alive();
    control_call_ = request_.path == "/faults" || request_.path == "/stats";
}

boost::asio::awaitable<void> connection::serve_call()
{
    const answer response = co_await make_answer();
    if (response) {
        const std::string text = whole_answer(*response);
        co_await write(text);
    }
    if (control_call_) {
        control_->exit_if_requested();
    }
}

// The role throws on a malformed body. The error reply is made after the catch block because a
// coroutine cannot `co_await` inside one.
boost::asio::awaitable<answer> connection::make_answer()
{
    std::string fault;
    try {
        if (control_call_) {
            co_return serve_control();
        }
        co_return co_await call_role();
    }
    catch (const nlohmann::json::exception& error) {
        fault = error.what();
    }
    co_return error_reply(400, fault);
}

answer connection::serve_control()
{
    if (request_.path == "/stats") {
        return json_reply(200, role_->stats());
    }
    const auto body = nlohmann::json::parse(request_.body);
    control_->apply(body);
    role_->apply_faults(body);
    return http_reply{};
}

boost::asio::awaitable<answer> connection::call_role()
{
    co_await control_->wait_while_blocked(opened_epoch_);
    if (control_->current()->outage) {
        abandon();
        co_return std::nullopt;
    }
    co_return co_await role_->handle(*this);
}

boost::asio::awaitable<void> connection::begin_stream()
{
    const std::string text = head(200, false, "Transfer-Encoding: chunked");
    co_await write(text);
}

boost::asio::awaitable<void> connection::send(const std::string& text)
{
    const std::string framed = chunk(text);
    co_await write(framed);
}

boost::asio::awaitable<void> connection::end_stream()
{
    const std::string last = "0\r\n\r\n";
    co_await write(last);
}

void connection::abandon()
{
    open_ = false;
    socket_ = tcp::socket(socket_.get_executor());
}

boost::asio::awaitable<void> connection::write(const std::string& text)
{
    if (!control_call_) {
        co_await control_->wait_while_blocked(opened_epoch_);
        if (control_->current()->outage) {
            abandon();
        }
    }
    co_await boost::asio::async_write(socket_, boost::asio::buffer(text), use_awaitable);
}

} // namespace ej::stand_ins
