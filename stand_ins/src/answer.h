#pragma once

#include "http_reply.h"

#include <optional>

namespace ej::stand_ins {

/// What is sent for a call; empty when it was streamed or the connection is given up.
using answer = std::optional<http_reply>;

} // namespace ej::stand_ins
