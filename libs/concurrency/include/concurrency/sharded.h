#pragma once

#include <array>
#include <concepts>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace ej::concurrency {

/// A hash map split into `Shards` shards, each with its own lock.
///
/// Callbacks run under one shard's lock: they must not do I/O, access the map again, or keep a
/// reference to a value. Thread-safe.
template <class Key, class Value, std::size_t Shards = 16>
class sharded {
public:
    using map = std::unordered_map<Key, Value>;

    /// Calls `action(map&)` on the shard that holds `key` and returns its result.
    template <std::invocable<map&> Action>
    decltype(auto) with(const Key& key, Action&& action)
    {
        shard& owner = shards_[std::hash<Key>{}(key) % Shards];
        const std::scoped_lock lock(owner.mutex);
        return std::forward<Action>(action)(owner.entries);
    }

    /// Calls `action(map&)` on each shard in turn, one lock at a time.
    template <std::invocable<map&> Action>
    void for_each_shard(Action action)
    {
        for (shard& owner : shards_) {
            const std::scoped_lock lock(owner.mutex);
            std::invoke(action, owner.entries);
        }
    }

    /// Number of entries. Shards are counted one after another, so concurrent writes may be missed.
    [[nodiscard]] std::size_t size()
    {
        std::size_t total = 0;
        for_each_shard([&](const map& entries) { total += entries.size(); });
        return total;
    }

private:
    // Each shard starts on its own cache line, so that no two locks share one.
    static constexpr std::size_t cache_line_bytes = 64;

    struct alignas(cache_line_bytes) shard {
        std::mutex mutex;
        map entries;
    };

    std::array<shard, Shards> shards_;
};

} // namespace ej::concurrency
