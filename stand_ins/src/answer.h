#pragma once

#include "http_reply.h"

#include <optional>

namespace ej::stand_ins {

/// The reply to a call; empty when it was streamed or the connection was closed instead.
using answer = std::optional<http_reply>;

} // namespace ej::stand_ins
