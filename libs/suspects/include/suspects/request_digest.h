#pragma once

#include <core/number_hash.h>

namespace ej::suspects {

/// Hash of a request's workspace and body; the same when a caller sends the request again.
using request_digest = core::number<struct suspect_digest_tag>;

} // namespace ej::suspects
