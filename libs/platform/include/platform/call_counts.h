#pragma once

#include <platform/call_kind.h>

#include <array>
#include <atomic>
#include <cstdint>

namespace ej::platform {

/// Counts calls by kind, and those without a usable answer. Thread-safe.
class call_counts {
public:
    /// A call of `kind` begins.
    void begin(call_kind kind);

    /// A call of `kind` had no usable answer.
    void fail(call_kind kind);

    /// Calls of `kind` begun so far.
    [[nodiscard]] std::uint64_t begun(call_kind kind) const;

    /// Calls of `kind` without a usable answer so far.
    [[nodiscard]] std::uint64_t failed(call_kind kind) const;

private:
    using counters = std::array<std::atomic<std::uint64_t>, call_kind_count>;
    counters begun_{};
    counters failed_{};
};

} // namespace ej::platform
