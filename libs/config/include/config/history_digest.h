#pragma once

#include <config/change_id.h>

#include <core/number_hash.h>

namespace ej::config {

/// Hash over the ids of all changes up to a revision; equal for equal histories.
using history_digest = core::number<struct history_digest_tag>;

/// The digest of the history with digest `before`, extended by the change `id`.
[[nodiscard]] history_digest extend(history_digest before, const change_id& id);

} // namespace ej::config
