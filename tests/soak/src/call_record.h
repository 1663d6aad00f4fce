#pragma once

#include "call_kind.h"

#include <core/instant.h>

#include <compare>
#include <cstddef>
#include <string>

namespace ej::soak {

/// A request and its outcome, as its caller observed them.
struct call_record {
    std::string id;
    call_kind kind = call_kind::read;
    bool crashing = false;          ///< Its prompt has the part on which engines crash.
    std::size_t daemon = 0;         ///< Index of the daemon that the request was sent to.
    bool connection_reused = false; ///< Sent on a connection that served an earlier request.
    int status = 0;                 ///< 0: the connection closed before a response head.
    bool complete = false;          ///< The answer ended properly.
    bool correct = false; ///< The received bytes are this request's answer or a prefix of it.
    core::instant began{};
    core::instant ended{};

    friend auto operator<=>(const call_record&, const call_record&) = default;
};

} // namespace ej::soak
