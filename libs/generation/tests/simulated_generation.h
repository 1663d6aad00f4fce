#pragma once

#include "simulation_step.h"

#include <generation/event.h>
#include <generation/rules.h>
#include <generation/state.h>

#include <string>
#include <vector>

namespace ej::generation {

/// Applies a sequence of faults to the rules as a daemon would, and records the caller's answer.
class simulated_generation {
public:
    simulated_generation(rules decide, std::vector<std::string> full_text);

    /// Applies one step.
    void play(simulation_step step);

    /// Runs the generation to its end without faults.
    void run_without_faults();

    [[nodiscard]] const std::vector<std::string>& answer() const { return answer_; }
    [[nodiscard]] const generation::state& state() const { return state_; }
    [[nodiscard]] bool finished() const { return finished_; }
    [[nodiscard]] bool failed() const { return failed_; }
    [[nodiscard]] bool in_order() const { return in_order_; }
    [[nodiscard]] bool all_superseded_cancelled() const;

private:
    void apply_event(const event& received);
    void apply_effect(const effect& received);
    void open(core::token_offset offset, core::digest digest, bool continues_text);
    [[nodiscard]] event token_line(std::uint64_t from, std::uint64_t count) const;
    [[nodiscard]] event make_event(event_kind kind) const;
    [[nodiscard]] event check_result(simulation_step step) const;
    void stream(simulation_step step);

    rules decide_;
    std::vector<std::string> full_text_;
    generation::state state_;
    std::vector<std::string> answer_;
    std::uint64_t sent_ = 0;     // Tokens that the engine has sent on this connection.
    bool continues_text_ = true; // True if the engine's text continues the delivered text.
    bool in_order_ = true;
    bool finished_ = false;
    bool failed_ = false;
    std::vector<core::attempt_number> placed_;
    std::vector<core::attempt_number> cancelled_;
};

} // namespace ej::generation
