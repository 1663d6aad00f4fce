#pragma once

#include <forwarding/endpoint_stats_table.h>

#include <core/endpoint_id.h>

#include <cstdint>
#include <utility>

namespace ej::front {

/// Memory of an engine that a request or a copy of it is expected to hold. Released by the
/// destructor.
class placed_memory {
public:
    placed_memory() = default;
    placed_memory(forwarding::endpoint_stats_table& stats, core::endpoint_id engine,
                  std::uint64_t tokens)
        : stats_(&stats), engine_(std::move(engine)), tokens_(tokens)
    {
        stats_->hold(engine_, tokens_);
    }
    ~placed_memory() { release(); }
    placed_memory(const placed_memory&) = delete;
    placed_memory& operator=(const placed_memory&) = delete;
    placed_memory(placed_memory&& other) noexcept
        : stats_(std::exchange(other.stats_, nullptr)), engine_(std::move(other.engine_)),
          tokens_(other.tokens_)
    {
    }
    placed_memory& operator=(placed_memory&& other) noexcept
    {
        if (this != &other) {
            release();
            stats_ = std::exchange(other.stats_, nullptr);
            engine_ = std::move(other.engine_);
            tokens_ = other.tokens_;
        }
        return *this;
    }

    void release()
    {
        if (auto* const stats = std::exchange(stats_, nullptr)) {
            stats->release(engine_, tokens_);
        }
    }

private:
    forwarding::endpoint_stats_table* stats_ = nullptr;
    core::endpoint_id engine_;
    std::uint64_t tokens_ = 0;
};

} // namespace ej::front
