#include "caller_output.h"

#include "unacknowledged_bytes.h"

#include <algorithm>
#include <utility>

namespace ej::front {

caller_output::caller_output(tcp::socket& socket, std::function<void(const error_code&)> written)
    : socket_(socket), written_(std::move(written))
{
}

void caller_output::send(std::string text, std::shared_ptr<void> owner)
{
    if (waiting_.empty()) {
        waiting_ = std::move(text);
    }
    else {
        waiting_ += text;
    }
    if (!busy() && !waiting_.empty()) {
        write(std::move(owner));
    }
}

std::uint64_t caller_output::unacknowledged() const
{
    return unacknowledged_bytes(socket_);
}

std::uint64_t caller_output::acknowledged() const
{
    // A write whose handler has not run yet isn't in the count.
    const auto written = written_before_ + written_now_;
    return written - std::min(written, unacknowledged());
}

void caller_output::write(std::shared_ptr<void> owner)
{
    writing_ = std::exchange(waiting_, {});
    const auto bytes = asio::buffer(writing_);
    const auto note_progress = [this](const error_code& error, std::size_t count) {
        written_now_ = count;
        return asio::transfer_all()(error, count);
    };
    asio::async_write(socket_, bytes, note_progress,
                      [this, owner = std::move(owner)](const error_code& error, std::size_t count) {
                          written_before_ += count;
                          written_now_ = 0;
                          writing_.clear();
                          if (error || waiting_.empty()) {
                              written_(error);
                              return;
                          }
                          write(owner);
                      });
}

} // namespace ej::front
