#include "submission_run.h"

#include <utility>

namespace ej::runtime {

submission_run::submission_run(config::change_submission decision, core::instant end)
    : decision_(std::move(decision)), effect_(decision_.start()), end_(end)
{
}

const config::submission_result* submission_run::result() const
{
    const auto* const finished = std::get_if<config::finish_submission>(&effect_);
    return finished == nullptr ? nullptr : &finished->result;
}

void submission_run::advance(const config::submission_event& event, core::instant now)
{
    apply_event(event);
    if (result() == nullptr && now >= end_) {
        apply_event(config::deadline_passed{});
    }
}

void submission_run::apply_event(const config::submission_event& event)
{
    auto next = decision_.handle(event);
    if (next) {
        effect_ = *std::move(next);
    }
}

} // namespace ej::runtime
