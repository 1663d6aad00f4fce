#pragma once

#include <config/change_submission.h>

#include <core/instant.h>

namespace ej::runtime {

/// A submission in progress: its state machine, the effect to carry out next and its time limit.
class submission_run {
public:
    /// The first `advance` at or after `end` ends the submission.
    submission_run(config::change_submission decision, core::instant end);

    /// The effect to carry out next; once finished, `finish_submission` with the result.
    [[nodiscard]] const config::submission_effect& effect() const { return effect_; }

    /// The result; null until finished.
    [[nodiscard]] const config::submission_result* result() const;

    /// Reports the result of the effect.
    void advance(const config::submission_event& event, core::instant now);

private:
    void apply_event(const config::submission_event& event);

    config::change_submission decision_;
    config::submission_effect effect_;
    core::instant end_;
};

} // namespace ej::runtime
