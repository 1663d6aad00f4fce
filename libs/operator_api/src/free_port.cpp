#include <utility>

#include "free_port.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace ej::operator_api {

std::uint16_t free_port(const std::string& host)
{
    using boost::asio::ip::tcp;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.open(address.is_v6() ? tcp::v6() : tcp::v4(), error);
    socket.bind({address, 0}, error);
    return error ? 0 : socket.local_endpoint(error).port();
}

} // namespace ej::operator_api
