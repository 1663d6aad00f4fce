#pragma once

#include <cstdint>
#include <vector>

namespace ej::routing {

/// A set of small integers in a dense array, so that a random member is found in constant time.
class index_set {
public:
    /// Inserts `index` if `member` is true, otherwise erases it.
    void update(std::uint32_t index, bool member);

    /// The members, in no particular order.
    [[nodiscard]] const std::vector<std::uint32_t>& members() const { return members_; }

private:
    std::vector<std::uint32_t> members_;
    std::vector<std::uint32_t> position_; // By index: its position in members_, or `absent`.
};

} // namespace ej::routing
