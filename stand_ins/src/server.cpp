#include "server.h"

#include "connection.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>

namespace ej::stand_ins {

namespace {

using boost::asio::ip::tcp;

tcp::endpoint endpoint_of(const core::address& listen)
{
    return {boost::asio::ip::make_address(listen.host), listen.port};
}

void serve(tcp::socket socket, const std::shared_ptr<service>& role,
           const std::shared_ptr<fault_control>& control)
{
    const auto strand = socket.get_executor();
    auto served = std::make_shared<connection>(std::move(socket), role, control);
    // An exception means that the peer closed the connection; only this connection ends.
    boost::asio::co_spawn(strand, served->run(), [served](const std::exception_ptr&) {});
}

boost::asio::awaitable<void> accept_all(boost::asio::io_context& context, tcp::acceptor& acceptor,
                                        std::shared_ptr<service> role,
                                        std::shared_ptr<fault_control> control)
{
    for (;;) {
        tcp::socket socket(boost::asio::make_strand(context));
        co_await acceptor.async_accept(socket, boost::asio::use_awaitable);
        serve(std::move(socket), role, control);
    }
}

} // namespace

server::server(boost::asio::io_context& context, const core::address& listen)
    : context_(context), acceptor_(context, endpoint_of(listen))
{
}

core::address server::local() const
{
    const auto bound = acceptor_.local_endpoint();
    return {bound.address().to_string(), bound.port()};
}

void server::start(std::shared_ptr<service> role, std::shared_ptr<fault_control> control)
{
    boost::asio::co_spawn(context_,
                          accept_all(context_, acceptor_, std::move(role), std::move(control)),
                          boost::asio::detached);
}

} // namespace ej::stand_ins
