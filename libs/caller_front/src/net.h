#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace ej::front {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

} // namespace ej::front
