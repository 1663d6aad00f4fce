#pragma once

#include "call_kind.h"

#include <core/instant.h>

#include <compare>
#include <cstddef>
#include <string>

namespace ej::soak {

/// One request as its caller saw it.
struct call_record {
    std::string id;
    call_kind kind = call_kind::read;
    std::size_t daemon = 0;         ///< Number of the daemon that was asked.
    bool connection_reused = false; ///< Sent on a connection that had served a request before.
    int status = 0;                 ///< 0: closed without the head of an answer.
    bool complete = false;          ///< The answer ended as complete.
    bool correct = false;           ///< What came is this request's answer, or a beginning of it.
    core::instant began{};
    core::instant ended{};

    friend auto operator<=>(const call_record&, const call_record&) = default;
};

} // namespace ej::soak
