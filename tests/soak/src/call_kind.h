#pragma once

namespace ej::soak {

/// Kinds of requests that callers send.
enum class call_kind { act, read, generate };

} // namespace ej::soak
