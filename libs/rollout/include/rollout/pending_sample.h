#pragma once

#include <core/service_id.h>

#include <cstdint>
#include <utility>

namespace ej::rollout {

class rollout_board;

/// Lets a board count a request as awaited until it is released or destroyed. The board outlives
/// it.
class pending_sample {
public:
    pending_sample() = default;
    pending_sample(rollout_board& board, core::service_id service, std::uint64_t number)
        : board_(&board), service_(std::move(service)), number_(number)
    {
    }
    ~pending_sample() { release(); }
    pending_sample(const pending_sample&) = delete;
    pending_sample& operator=(const pending_sample&) = delete;
    pending_sample(pending_sample&& other) noexcept
        : board_(std::exchange(other.board_, nullptr)), service_(std::move(other.service_)),
          number_(other.number_)
    {
    }
    pending_sample& operator=(pending_sample&& other) noexcept
    {
        release();
        board_ = std::exchange(other.board_, nullptr);
        service_ = std::move(other.service_);
        number_ = other.number_;
        return *this;
    }

    /// The request has had its first output, or has ended.
    void release();

private:
    rollout_board* board_ = nullptr;
    core::service_id service_;
    std::uint64_t number_ = 0;
};

} // namespace ej::rollout
