#pragma once

#include <config/change_submission.h>

#include <core/instant.h>

namespace ej::runtime {

/// A submission on its way: its decision, the effect to carry out next and its time limit.
class submission_run {
public:
    /// The submission ends by itself at `end`.
    submission_run(config::change_submission decision, core::instant end);

    /// What to do next; the result once finished.
    [[nodiscard]] const config::submission_effect& effect() const { return effect_; }

    /// The result; none until finished.
    [[nodiscard]] const config::submission_result* result() const;

    /// Takes what came of the effect.
    void advance(const config::submission_event& event, core::instant now);

private:
    void take(const config::submission_event& event);

    config::change_submission decision_;
    config::submission_effect effect_;
    core::instant end_;
};

} // namespace ej::runtime
