#pragma once

#include <peer/call_status.h>

#include <string>

namespace ej::peer {

/// Result of a request to a peer; `payload` is empty unless the request was answered.
struct call_result {
    call_status status = call_status::unreachable;
    std::string payload;

    friend bool operator==(const call_result& left, const call_result& right)
    {
        return left.status == right.status && left.payload == right.payload;
    }
};

} // namespace ej::peer
