#pragma once

#include <lease/deadline_strategy.h>

namespace ej::lease {

/// Counts from the answer; for comparison. Too late by the answer's delay and any pause before it.
class deadline_from_answer final : public deadline_strategy {
public:
    [[nodiscard]] core::instant until(core::instant sent, core::instant answered,
                                      core::duration ttl) const override;
};

} // namespace ej::lease
