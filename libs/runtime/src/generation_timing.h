#pragma once

#include <core/instant.h>
#include <metrics/registry.h>

#include <optional>

namespace ej::runtime {

/// Measures the time to a generation's first token, the time between tokens, and the time to
/// resume. Used on one strand.
class generation_timing {
public:
    explicit generation_timing(core::instant began) : began_(began) {}

    /// Reports an interruption; the time to resume counts from the last token.
    void interrupted();

    /// Reports tokens delivered to the caller at `at`: observes the time to first token, between
    /// tokens, or to resume.
    void delivered(core::instant at, metrics::registry& metrics);

    [[nodiscard]] core::instant began() const { return began_; }
    [[nodiscard]] std::optional<core::instant> first_token() const { return first_token_; }

private:
    core::instant began_;
    std::optional<core::instant> first_token_;
    std::optional<core::instant> last_token_;
    bool interrupted_ = false;
};

} // namespace ej::runtime
