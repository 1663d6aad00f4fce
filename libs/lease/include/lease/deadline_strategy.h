#pragma once

#include <core/instant.h>

namespace ej::lease {

/// Computes until when a created or renewed lease is treated as valid.
class deadline_strategy {
public:
    deadline_strategy() = default;
    deadline_strategy(const deadline_strategy&) = delete;
    deadline_strategy& operator=(const deadline_strategy&) = delete;
    deadline_strategy(deadline_strategy&&) = delete;
    deadline_strategy& operator=(deadline_strategy&&) = delete;
    virtual ~deadline_strategy() = default;

    [[nodiscard]] virtual core::instant until(core::instant sent, core::instant answered,
                                              core::duration ttl) const = 0;
};

} // namespace ej::lease
