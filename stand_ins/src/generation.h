#pragma once

#include "change_signal.h"
#include "generation_parameters.h"
#include "generation_progress.h"

#include <stand_ins/text_variant.h>

#include <core/digest.h>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace ej::stand_ins {

/// One attempt that runs or has run on an engine. Thread-safe.
class generation {
public:
    /// `skipped_tokens` tokens are left out after the prefix, as an engine does that resumes
    /// wrongly.
    generation(generation_parameters parameters, text_variant variant,
               std::uint64_t skipped_tokens);

    [[nodiscard]] const generation_parameters& parameters() const { return parameters_; }
    [[nodiscard]] generation_progress progress() const;
    [[nodiscard]] change_signal& changed() { return changed_; }

    /// Offset at which its text begins.
    [[nodiscard]] std::uint64_t first_offset() const
    {
        return parameters_.prefix.size() + skipped_tokens_;
    }

    /// Token at `offset` of the whole answer.
    [[nodiscard]] std::string token(std::uint64_t offset) const;

    /// Digest of the first `offset` tokens.
    [[nodiscard]] core::digest digest_at(std::uint64_t offset) const;

    /// Adds up to `tokens` tokens, and their number to `total` before a reader sees them. Ends at
    /// `max_tokens`.
    void produce(std::uint64_t tokens, std::atomic<std::uint64_t>& total);

    /// Ends it with `reason`, unless it has ended.
    void finish(const std::string& reason);

private:
    const generation_parameters parameters_;
    const text_variant variant_;
    const std::uint64_t skipped_tokens_;
    mutable std::mutex mutex_;
    generation_progress progress_;
    change_signal changed_;
};

} // namespace ej::stand_ins
