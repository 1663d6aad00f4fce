#pragma once

#include <http/request.h>

#include <core/instant.h>

#include <string>
#include <string_view>

namespace ej::front {

/// A caller's request, read whole.
struct caller_request {
    http::request message;    ///< Target and body as they came.
    core::instant arrived;    ///< Its header was read.
    bool keep_alive = true;   ///< The caller keeps the connection for further requests.
    bool takes_chunks = true; ///< The caller understands a chunked answer.

    /// The target without its query.
    [[nodiscard]] std::string_view path() const
    {
        return std::string_view(message.target).substr(0, message.target.find('?'));
    }
};

} // namespace ej::front
