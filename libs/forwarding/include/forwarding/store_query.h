#pragma once

namespace ej::forwarding {

/// What a daemon asks the store for.
enum class store_query {
    listing, ///< All entries, page by page.
    changes  ///< All changes since a revision, in one answer.
};

} // namespace ej::forwarding
