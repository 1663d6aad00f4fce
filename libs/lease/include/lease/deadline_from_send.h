#pragma once

#include <lease/deadline_strategy.h>

namespace ej::lease {

/// Counts the time to live from before the call was sent: the platform cannot have started it
/// earlier.
class deadline_from_send final : public deadline_strategy {
public:
    [[nodiscard]] core::instant until(core::instant sent, core::instant answered,
                                      core::duration ttl) const override;
};

} // namespace ej::lease
