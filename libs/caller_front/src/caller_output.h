#pragma once

#include "net.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace ej::front {

/// Sends text to a caller in order; text added during a write is sent by the next write. Used on
/// one lane.
class caller_output {
public:
    /// `socket` outlives the output. `written` is called when everything was sent, or with the
    /// error that stopped it.
    caller_output(tcp::socket& socket, std::function<void(const error_code&)> written);

    /// Sends `text`; `owner` keeps the socket alive meanwhile.
    void send(std::string text, std::shared_ptr<void> owner);

    /// True while something is being sent.
    [[nodiscard]] bool busy() const { return !writing_.empty(); }

    /// Bytes sent that the caller's machine has acknowledged.
    [[nodiscard]] std::uint64_t acknowledged() const;

    /// Bytes sent that the caller's machine has not acknowledged; 0 if the socket has failed.
    [[nodiscard]] std::uint64_t unacknowledged() const;

    /// Bytes buffered, those of the write in progress included.
    [[nodiscard]] std::size_t unsent() const { return waiting_.size() + writing_.size(); }

    /// Bytes buffered behind the write in progress.
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

private:
    void write(std::shared_ptr<void> owner);

    tcp::socket& socket_;
    std::function<void(const error_code&)> written_;
    std::string waiting_;
    std::string writing_;
    std::uint64_t written_before_ = 0; // By finished writes.
    std::uint64_t written_now_ = 0;    // By the write in progress.
};

} // namespace ej::front
