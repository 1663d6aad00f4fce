#include <forwarding/leaving_endpoints.h>

#include <unordered_map>

namespace ej::forwarding {

bool leaving_endpoints::record(const leaving_evidence& seen)
{
    return unregistered_since_.with(seen.run, [&](auto& entries) {
        return entries.try_emplace(seen.run, std::nullopt).second;
    });
}

bool leaving_endpoints::contains(const endpoint_run& run) const
{
    return unregistered_since_.with(run,
                                    [&](const auto& entries) { return entries.contains(run); });
}

void leaving_endpoints::review(const run_filter& is_registered, core::instant now)
{
    unregistered_since_.for_each_shard([&](auto& entries) {
        for (auto& [run, unregistered_since] : entries) {
            unregistered_since =
                is_registered(run) ? std::nullopt : std::optional(unregistered_since.value_or(now));
        }
        std::erase_if(entries,
                      [&](const auto& one) { return one.second && now - *one.second > retention; });
    });
}

} // namespace ej::forwarding
