#include "prefix_cache.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace ej::stand_ins {

namespace {

constexpr std::size_t prefix_bytes = 256;
constexpr std::uint64_t dropped_event_interval = 7;
constexpr std::size_t events_kept = 1'000;

} // namespace

bool prefix_cache::touch(const std::string& prompt)
{
    const auto hash = XXH3_64bits(prompt.data(), std::min(prompt.size(), prefix_bytes));
    const std::scoped_lock lock(mutex_);
    if (std::ranges::find(cached_, hash) != cached_.end()) {
        return true;
    }
    cached_.push_back(hash);
    record("stored", hash);
    if (cached_.size() > capacity_) {
        record("evicted", cached_.front());
        cached_.pop_front();
    }
    return false;
}

nlohmann::json prefix_cache::events_after(std::uint64_t sequence) const
{
    auto list = nlohmann::json::array();
    const std::scoped_lock lock(mutex_);
    for (auto next = events_.upper_bound(sequence); next != events_.end(); ++next) {
        list.push_back({{"sequence", next->first},
                        {"kind", next->second.kind},
                        {"prefix_hash", next->second.hash}});
    }
    return {{"events", list}};
}

std::uint64_t prefix_cache::sequence() const
{
    const std::scoped_lock lock(mutex_);
    return sequence_;
}

void prefix_cache::record(const char* kind, std::uint64_t hash)
{
    if (++sequence_ % dropped_event_interval == 0) {
        return;
    }
    events_.emplace(sequence_, event{kind, hash});
    if (events_.size() > events_kept) {
        events_.erase(events_.begin());
    }
}

} // namespace ej::stand_ins
