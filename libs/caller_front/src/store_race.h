#pragma once

#include <absl/status/status.h>

#include <cstddef>
#include <optional>

namespace ej::front {

/// Equal queries to the store that are under way at the same time. The first answer ends the race;
/// without one, it ends when no query is under way any more. Used on one thread.
class store_race {
public:
    /// Records that a query was sent.
    void record_query() { ++under_way_; }

    /// Records the end of a query. `answered`: the store has replied to it, if only with an error
    /// that it would repeat.
    void record_end(const absl::Status& status, bool answered);

    [[nodiscard]] bool over() const { return end_.has_value(); }

    /// The status of the query that ended the race, which is over.
    [[nodiscard]] const absl::Status& end() const { return end_.value(); }

private:
    std::size_t under_way_ = 0;
    std::optional<absl::Status> end_;
};

} // namespace ej::front
