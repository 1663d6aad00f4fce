#pragma once

#include <core/number_hash.h>

namespace ej::membership {

/// Orders the summaries of one failure domain.
using summary_version = core::number<struct summary_version_tag>;

} // namespace ej::membership
