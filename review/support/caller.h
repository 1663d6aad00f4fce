#pragma once

#include "message.h"

#include <optional>
#include <string>

namespace review {

/// A request of a caller.
struct call {
    std::string method = "POST";
    std::string target;
    std::string id;
    std::string key;
    std::string body;
    int deadline_ms = 600;
    std::string more; ///< Further header lines.
};

/// A new attempt id.
std::string new_id();

/// The bytes of `made`.
std::string request_text(const call& made);

/// Sends `made` over a new connection to `port` and reads the answer; empty if there is none.
std::optional<message> send_call(int port, const call& made);

} // namespace review
