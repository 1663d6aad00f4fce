#include <actions/action_records.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace ej::actions {

action_records::action_records(action_limits limits, std::size_t max_result_bytes)
    : results_(max_result_bytes), rules_(limits)
{
}

std::vector<action_effect> action_records::apply(const action_id& action, action_event event)
{
    if (event.kind == event_kind::submitted) {
        event.nonce = claim_nonce(++last_nonce_);
    }
    const std::size_t result_bytes = event.result.body.size();
    auto applied =
        records_.with(action, [&](record_map& records) { return step(records, action, event); });
    const bool has_result =
        event.kind == event_kind::answered && applied.next.phase == action_phase::ran;
    if (has_result) {
        for (const action_id& dropped : results_.add({action, result_bytes})) {
            action_event drop;
            drop.kind = event_kind::result_dropped;
            std::ignore = records_.with(
                dropped, [&](record_map& records) { return step(records, dropped, drop); });
        }
    }
    return std::move(applied.effects);
}

transition action_records::step(record_map& records, const action_id& action,
                                const action_event& event) const
{
    const auto found = records.find(action);
    transition applied =
        rules_.apply(found == records.end() ? action_state{} : found->second, event);
    if (found != records.end()) {
        found->second = applied.next;
    }
    else if (applied.next.phase != action_phase::fresh) {
        records.emplace(action, applied.next);
    }
    return applied;
}

std::size_t action_records::expire(core::instant now)
{
    std::size_t dropped = 0;
    records_.for_each_shard([&](record_map& records) {
        dropped += std::erase_if(records, [&](const auto& record) {
            return is_final(record.second.phase) && record.second.keep_until <= now;
        });
    });
    return dropped;
}

std::size_t action_records::open_count()
{
    std::size_t open = 0;
    records_.for_each_shard([&](const record_map& records) {
        open += static_cast<std::size_t>(std::ranges::count_if(
            records, [](const auto& record) { return !is_final(record.second.phase); }));
    });
    return open;
}

} // namespace ej::actions
