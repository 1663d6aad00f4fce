#pragma once

#include <lease/deadline_strategy.h>

namespace ej::lease {

/// Counts the time to live from the arrival of the answer. For comparison: the deadline is too late
/// by the delay of the answer and any pause of the process before it is read.
class deadline_from_answer final : public deadline_strategy {
public:
    [[nodiscard]] core::instant until(core::instant sent, core::instant answered,
                                      core::duration ttl) const override;
};

} // namespace ej::lease
