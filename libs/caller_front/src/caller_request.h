#pragma once

#include <http/request.h>

#include <core/instant.h>

#include <string>
#include <string_view>

namespace ej::front {

/// A complete request of a caller.
struct caller_request {
    http::request message;    ///< Target and body as received.
    core::instant arrived;    ///< When its header was complete.
    bool keep_alive = true;   ///< The caller keeps the connection for further requests.
    bool takes_chunks = true; ///< The caller supports chunked answers.

    /// The target without its query.
    [[nodiscard]] std::string_view path() const
    {
        return std::string_view(message.target).substr(0, message.target.find('?'));
    }
};

} // namespace ej::front
