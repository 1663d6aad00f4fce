#pragma once

#include <harness/http_call.h>

#include <core/address.h>

#include <utility>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace ej::harness {

/// A blocking connection; each step (connect, write, read) times out after 90 s.
class blocking_stream {
public:
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /// Connects and sends `call`.
    absl::Status open(const core::address& where, const http_call& call);

    /// Reads the whole response into `into`.
    absl::Status read_all(parser& into);

    /// Reads the response header.
    absl::Status read_header(parser& into);

    /// Reads some more of the body.
    absl::Status read_some(parser& into);

private:
    template <class Start>
    absl::Status step(Start&& start);

    boost::asio::io_context context_;
    boost::beast::tcp_stream stream_{context_};
    boost::beast::flat_buffer buffer_;
};

} // namespace ej::harness
