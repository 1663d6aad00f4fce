#pragma once

#include <harness/http_call.h>

#include <core/address.h>

#include <functional>
#include <string>

namespace ej::harness {

/// Sends `call` and hands each line of the answer to `on_line` as it comes, until the answer ends
/// or breaks.
void read_lines(const core::address& where, const http_call& call,
                const std::function<void(const std::string&)>& on_line);

} // namespace ej::harness
