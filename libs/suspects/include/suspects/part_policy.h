#pragma once

#include <suspects/part_evidence.h>

namespace ej::suspects {

/// Decides which parts are held back. Stateless; thread-safe.
class part_policy {
public:
    virtual ~part_policy() = default;

    /// True if requests with the part are to be held back.
    [[nodiscard]] virtual bool holds(const part_evidence& known) const = 0;
};

} // namespace ej::suspects
