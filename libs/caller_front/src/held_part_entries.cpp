#include "held_part_entries.h"

#include "clock.h"
#include "entry_lease.h"
#include "stored_hold.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace ej::front {

std::vector<platform::store_write> held_part_entries::due(std::size_t most)
{
    std::vector<platform::store_write> changes;
    const auto add = [&](suspects::part_digest part, std::optional<std::string> value) {
        if (changes.size() < most && context_.parts.owns(part)) {
            changes.push_back({layout_.held_part_key(part), std::move(value), {}, {}});
        }
    };
    const auto& stored = context_.holds_in_store;
    const auto held = context_.parts.held();
    for (const suspects::held_part& one : held) {
        const auto known = stored.find(one.part);
        if (known == stored.end() || known->second.trials < one.trials ||
            is_lease_half_over(known->second.seen, now())) {
            add(one.part, stored_hold_text(one.trials));
        }
    }
    for (const auto& [part, known] : stored) {
        if (!context_.parts.holds_any(std::span(&part, 1))) {
            add(part, std::nullopt);
        }
    }
    return changes;
}

void held_part_entries::record(const platform::store_write& made)
{
    const auto part = layout_.held_part_of(made.key);
    if (!part) {
        return;
    }
    const auto trials = made.value ? parse_stored_hold(*made.value) : std::nullopt;
    if (trials) {
        context_.holds_in_store[*part] = {*trials, now()};
    }
    else {
        context_.holds_in_store.erase(*part);
    }
}

bool held_part_entries::idle()
{
    return context_.parts.held().empty() && context_.holds_in_store.empty();
}

} // namespace ej::front
