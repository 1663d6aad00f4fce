#include "caller_output.h"

#include <utility>

namespace ej::front {

caller_output::caller_output(tcp::socket& socket, std::function<void(const error_code&)> written)
    : socket_(socket), written_(std::move(written))
{
}

void caller_output::send(const std::string& text, std::shared_ptr<void> owner)
{
    waiting_ += text;
    if (!busy() && !waiting_.empty()) {
        write(std::move(owner));
    }
}

void caller_output::write(std::shared_ptr<void> owner)
{
    writing_ = std::exchange(waiting_, {});
    const auto bytes = asio::buffer(writing_);
    asio::async_write(socket_, bytes,
                      [this, owner = std::move(owner)](const error_code& error, std::size_t) {
                          writing_.clear();
                          if (error || waiting_.empty()) {
                              written_(error);
                              return;
                          }
                          write(owner);
                      });
}

} // namespace ej::front
