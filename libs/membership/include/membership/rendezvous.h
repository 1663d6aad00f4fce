#pragma once

#include <core/vm_id.h>

#include <string_view>
#include <vector>

namespace ej::membership {

/// The `count` members with the highest hash of member and `key`, best first. Daemons with the
/// same members make the same choice, and the loss of a member moves only the keys that it was
/// chosen for.
[[nodiscard]] std::vector<core::vm_id> choose_by_rendezvous(std::string_view key,
                                                            const std::vector<core::vm_id>& members,
                                                            std::size_t count);

} // namespace ej::membership
