#pragma once

#include <core/vm_id.h>

#include <string_view>
#include <vector>

namespace ej::membership {

/// The `count` members with the highest hash of member and `key`, best first. All daemons that know
/// the same members choose the same ones, and a member's loss moves only what it was chosen for.
[[nodiscard]] std::vector<core::vm_id> choose_by_rendezvous(std::string_view key,
                                                            const std::vector<core::vm_id>& members,
                                                            std::size_t count);

} // namespace ej::membership
