#pragma once

#include "../event_queue.h"
#include "engine_job.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace ej::measure {

/// An engine as the platform's pages describe it: it runs requests in a batch, reads one prompt at
/// a time in chunks between the tokens of the others, and holds them in a common memory. When that
/// runs out, the newest request is preempted and read again.
class engine_model {
public:
    static constexpr std::uint64_t memory_tokens = 55'000;
    static constexpr std::uint32_t slots = 64;
    static constexpr std::uint64_t tokens_per_event = 6;

    using callback = std::function<void(std::uint64_t id)>;

    /// `slowness` multiplies all times. `on_event` is called with each event of a request and
    /// `on_end` after its last.
    engine_model(event_queue& events, double slowness, callback on_event, callback on_end);

    void submit(const engine_job& added);
    void cancel(std::uint64_t id);

    /// Keeps a copy of another engine's request, of `tokens`.
    void keep_copy(std::uint64_t id, std::uint64_t tokens) { copies_[id] = tokens; }
    void drop_copy(std::uint64_t id) { copies_.erase(id); }
    [[nodiscard]] bool has_copy(std::uint64_t id) const { return copies_.contains(id); }

    /// Loses everything; returns the requests that it had.
    std::vector<engine_job> crash();

    /// Back after a crash, empty.
    void restart() { up_ = true; }

    [[nodiscard]] bool up() const { return up_; }

    /// Tokens that were read again after a preemption.
    [[nodiscard]] std::uint64_t read_again() const { return read_again_; }

private:
    void admit();
    void begin_step();
    void end_step(std::uint64_t chunk);
    void preempt();
    [[nodiscard]] std::uint64_t held() const;

    event_queue& events_;
    double slowness_;
    callback on_event_;
    callback on_end_;
    std::vector<engine_job> running_;
    std::deque<engine_job> waiting_;
    std::map<std::uint64_t, std::uint64_t> copies_;
    std::uint64_t read_again_ = 0;
    std::uint64_t run_ = 0; // Differs after each crash.
    bool stepping_ = false;
    bool up_ = true;
};

} // namespace ej::measure
