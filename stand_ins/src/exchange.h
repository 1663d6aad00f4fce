#pragma once

#include <utility>

#include "http_request.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace ej::stand_ins {

/// One request and the connection on which it is answered. Writing throws once the peer has closed
/// the connection.
class exchange {
public:
    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;
    virtual ~exchange() = default;

    [[nodiscard]] virtual const http_request& request() const = 0;

    /// Begins a chunked response; `send` appends to it and `end_stream` ends it.
    virtual boost::asio::awaitable<void> begin_stream() = 0;
    virtual boost::asio::awaitable<void> send(const std::string& text) = 0;
    virtual boost::asio::awaitable<void> end_stream() = 0;

    /// Closes the connection without a response.
    virtual void abandon() = 0;
};

} // namespace ej::stand_ins
