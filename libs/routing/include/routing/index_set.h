#pragma once

#include <cstdint>
#include <vector>

namespace ej::routing {

/// A set of small indexes, from which one at random is found in constant time.
class index_set {
public:
    /// Puts `index` in or takes it out.
    void update(std::uint32_t index, bool member);

    /// The indexes in no order.
    [[nodiscard]] const std::vector<std::uint32_t>& members() const { return members_; }

private:
    std::vector<std::uint32_t> members_;
    std::vector<std::uint32_t> position_; // Per index: its place in members_, or absent.
};

} // namespace ej::routing
