#pragma once

#include <core/instant.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace ej::measure {

/// Service-time model of an engine: a batch of `slots` requests, each at `speed` tokens a second;
/// urgent requests run first; other requests keep their progress while they are paused.
class fake_endpoint {
public:
    struct task {
        std::size_t job = 0;
        bool urgent = false;
        double left = 0; // tokens
        bool started = false;
    };

    fake_endpoint(std::size_t slots, double speed) : slots_(slots), speed_(speed) {}

    void add(std::size_t job, double work, bool urgent, core::instant now)
    {
        advance(now);
        const auto first_normal = std::ranges::find(tasks_, false, &task::urgent);
        tasks_.insert(urgent ? first_normal : tasks_.end(), {job, urgent, work, false});
    }

    /// Subtracts the work done until `now`.
    void advance(core::instant now)
    {
        const double done = std::chrono::duration<double>(now - last_).count() * speed();
        last_ = now;
        for (std::size_t at = 0; at < running(); ++at) {
            tasks_[at].left -= done;
        }
    }

    /// The jobs that started to run since the last call.
    std::vector<std::size_t> take_started()
    {
        std::vector<std::size_t> jobs;
        for (std::size_t at = 0; at < running(); ++at) {
            if (!std::exchange(tasks_[at].started, true)) {
                jobs.push_back(tasks_[at].job);
            }
        }
        return jobs;
    }

    /// Removes and returns the finished jobs.
    std::vector<std::size_t> take_finished()
    {
        constexpr double rounding = 1e-6;
        std::vector<std::size_t> jobs;
        std::erase_if(tasks_, [&](const task& one) {
            const bool finished = one.left <= rounding;
            if (finished) {
                jobs.push_back(one.job);
            }
            return finished;
        });
        return jobs;
    }

    /// Time until the next job finishes; empty without jobs.
    [[nodiscard]] std::optional<core::duration> next_finish() const
    {
        if (tasks_.empty()) {
            return std::nullopt;
        }
        const auto end = tasks_.begin() + static_cast<std::ptrdiff_t>(running());
        const double left = std::ranges::min_element(tasks_.begin(), end, {}, &task::left)->left;
        const std::chrono::duration<double> time(std::max(left, 0.0) / speed());
        return std::chrono::ceil<core::duration>(time);
    }

    [[nodiscard]] std::size_t running() const { return std::min(tasks_.size(), slots_); }
    [[nodiscard]] std::size_t waiting() const { return tasks_.size() - running(); }
    [[nodiscard]] std::size_t slots() const { return slots_; }
    [[nodiscard]] double speed() const { return speed_ * factor_; }
    [[nodiscard]] const std::vector<task>& tasks() const { return tasks_; }
    [[nodiscard]] bool alive() const { return alive_; }

    void slow(double factor, core::instant now)
    {
        advance(now);
        factor_ = factor;
    }

    /// Marks the endpoint dead; returns its unfinished tasks.
    std::vector<task> die(core::instant now)
    {
        advance(now);
        alive_ = false;
        return std::exchange(tasks_, {});
    }

private:
    std::size_t slots_;
    double speed_;
    double factor_ = 1;
    bool alive_ = true;
    core::instant last_{};
    std::vector<task> tasks_;
};

} // namespace ej::measure
