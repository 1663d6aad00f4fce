#include "beast.h"
#include "client_connection.h"
#include "convert.h"
#include "read_header.h"

#include <http/line_stream.h>

#include <algorithm>
#include <optional>

namespace ej::http {

namespace {

constexpr std::size_t max_line_bytes = std::size_t{1} << 20;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

} // namespace

struct line_stream::connection {
    explicit connection(const asio::any_io_executor& executor)
        : transport(std::make_shared<client_connection>(executor))
    {
        parser.body_limit(boost::none);
    }

    /// Removes and returns the first complete line of `text`, if there is one.
    std::optional<std::string> take_line()
    {
        const auto end = text.find('\n', scanned);
        if (end == std::string::npos) {
            scanned = text.size();
            return std::nullopt;
        }
        auto line = text.substr(start, end - start);
        start = scanned = end + 1;
        if (start == text.size()) {
            text.clear();
            start = scanned = 0;
        }
        return line;
    }

    /// Moves the bytes that the parser has read into `text`.
    void collect()
    {
        text.erase(0, start);
        start = 0;
        scanned = text.size();
        auto& body = parser.get().body();
        const auto parts = body.data();
        for (const auto part : beast::buffers_range_ref(parts)) {
            text.append(static_cast<const char*>(part.data()), part.size());
        }
        body.consume(body.size());
    }

    std::shared_ptr<client_connection> transport;
    wire::response_parser<wire::dynamic_body> parser;
    std::string text;
    std::size_t start = 0;   // start of the first line not yet returned
    std::size_t scanned = 0; // no line feed between `start` and here
};

line_stream::line_stream(core::duration connect_timeout) : connect_timeout_(connect_timeout) {}

line_stream::~line_stream() = default;

void line_stream::close()
{
    boost::system::error_code error;
    connection_->transport->stream.socket().close(error);
}

asio::awaitable<absl::StatusOr<std::shared_ptr<line_stream>>>
line_stream::open(core::address destination, request outgoing, call_options options)
{
    const auto deadline = std::chrono::steady_clock::now() + options.deadline;
    auto self = std::make_shared<line_stream>(options.connect_timeout);
    self->connection_ = std::make_shared<connection>(co_await asio::this_coro::executor);
    auto link = self->connection_;
    auto connected = co_await connect(link->transport, destination,
                                      std::min(options.connect_timeout, options.deadline));
    if (!connected.ok()) {
        co_return connected;
    }
    auto message = to_wire(outgoing, destination);
    boost::system::error_code error;
    link->transport->stream.expires_at(deadline);
    co_await wire::async_write(link->transport->stream, message, no_throw(error));
    if (!error) {
        framing_check check;
        error = co_await read_header(link->transport->stream, link->transport->buffer, link->parser,
                                     check);
    }
    if (error) {
        co_return failure_status(error);
    }
    const auto status = link->parser.get().result_int();
    if (status == status_not_found) {
        co_return absl::NotFoundError("the server answered with status 404");
    }
    if (status != status_ok) {
        co_return absl::FailedPreconditionError("the server answered with status " +
                                                std::to_string(status));
    }
    co_return self;
}

asio::awaitable<absl::StatusOr<std::optional<std::string>>>
line_stream::next_line(core::duration silence)
{
    const auto link = connection_;
    for (;;) {
        if (auto line = link->take_line()) {
            co_return line;
        }
        if (link->text.size() - link->start > max_line_bytes) {
            co_return absl::ResourceExhaustedError("line is longer than 1 MB");
        }
        if (link->parser.is_done()) {
            co_return std::optional<std::string>{};
        }
        boost::system::error_code error;
        link->transport->stream.expires_after(silence);
        co_await wire::async_read_some(link->transport->stream, link->transport->buffer,
                                       link->parser, no_throw(error));
        if (error) {
            co_return failure_status(error);
        }
        link->collect();
    }
}

} // namespace ej::http
