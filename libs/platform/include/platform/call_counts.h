#pragma once

#include <platform/call_kind.h>

#include <array>
#include <atomic>
#include <cstdint>

namespace ej::platform {

/// Counts calls and failed calls by kind. Thread-safe.
class call_counts {
public:
    /// Counts the start of a call of `kind`.
    void begin(call_kind kind);

    /// Counts a call of `kind` that had no usable answer.
    void fail(call_kind kind);

    /// Calls of `kind` started so far.
    [[nodiscard]] std::uint64_t begun(call_kind kind) const;

    /// Calls of `kind` without a usable answer so far.
    [[nodiscard]] std::uint64_t failed(call_kind kind) const;

private:
    using counters = std::array<std::atomic<std::uint64_t>, call_kind_count>;
    counters begun_{};
    counters failed_{};
};

} // namespace ej::platform
