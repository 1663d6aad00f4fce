#include "copying_endpoint.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace ej::front {

copying_endpoint::copying_endpoint(asio::io_context& lane, script answer)
    : lane_(lane), acceptor_(lane, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      answer_(std::move(answer))
{
    accept();
}

core::address copying_endpoint::address() const
{
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void copying_endpoint::accept()
{
    const auto made = std::make_shared<connection>(lane_);
    acceptor_.async_accept(made->socket, [this, made](const error_code& error) {
        if (!error) {
            made->socket.set_option(tcp::no_delay(true)); // Several texts may follow one another.
            read(made);
            accept();
        }
    });
}

void copying_endpoint::read(const std::shared_ptr<connection>& from)
{
    asio::async_read_until(from->socket, asio::dynamic_buffer(from->received), "\r\n\r\n",
                           [this, from](const error_code& error, std::size_t size) {
                               if (error) {
                                   return;
                               }
                               const auto request = from->received.substr(0, size);
                               from->received.erase(0, size);
                               write(from, request);
                               read(from);
                           });
}

void copying_endpoint::write(const std::shared_ptr<connection>& to, const std::string& request)
{
    const auto texts = answer_(request, to->answers);
    std::ranges::for_each(texts, [&](const std::string& text) {
        error_code ignored; // The daemon may have closed the connection.
        asio::write(to->socket, asio::buffer(text), ignored);
        to->answers.push_back(text);
    });
}

} // namespace ej::front
