#include "generation_timing.h"

#include <utility>

namespace ej::runtime {

void generation_timing::interrupted()
{
    interrupted_ = true;
}

void generation_timing::delivered(core::instant at, metrics::registry& metrics)
{
    const auto gap = at - last_token_.value_or(began_);
    if (std::exchange(interrupted_, false)) {
        metrics.observe("resume_seconds", {}, gap);
    }
    else if (first_token_) {
        metrics.observe("between_tokens_seconds", {}, gap);
    }
    else {
        metrics.observe("first_token_seconds", {}, gap);
    }
    last_token_ = at;
    first_token_ = first_token_.value_or(at);
}

} // namespace ej::runtime
