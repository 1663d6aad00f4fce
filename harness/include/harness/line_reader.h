#pragma once

#include <harness/http_call.h>

#include <core/address.h>

#include <functional>
#include <string>

namespace ej::harness {

/// Sends `call` and passes each line of the response to `on_line` as it arrives, until the response
/// ends or the connection breaks.
void read_lines(const core::address& where, const http_call& call,
                const std::function<void(const std::string&)>& on_line);

} // namespace ej::harness
