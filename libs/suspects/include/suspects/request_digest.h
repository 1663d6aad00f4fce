#pragma once

#include <core/number_hash.h>

namespace ej::suspects {

/// Hash of a request's workspace and body: equal for a request that its caller sends again.
using request_digest = core::number<struct suspect_digest_tag>;

} // namespace ej::suspects
