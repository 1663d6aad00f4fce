#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace ej::stand_ins {

/// A FIFO cache of prompt prefixes with a log of its store and evict events. Every
/// `dropped_event_interval`th event is missing from the log. Thread-safe.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

    /// Adds the prefix of `prompt`; true if it was cached already.
    bool touch(const std::string& prompt);

    /// `{"events": [...]}` with the events after `sequence`.
    [[nodiscard]] nlohmann::json events_after(std::uint64_t sequence) const;

    /// Sequence number of the last event.
    [[nodiscard]] std::uint64_t sequence() const;

private:
    struct event {
        const char* kind = "";
        std::uint64_t hash = 0;
    };

    void record(const char* kind, std::uint64_t hash);

    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<std::uint64_t> cached_;
    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, event> events_;
};

} // namespace ej::stand_ins
