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

/// One attempt of a request, running or ended, on an engine. Thread-safe.
class generation {
public:
    /// Leaves out `skipped_tokens` tokens after the prefix, to simulate an engine that resumes at a
    /// wrong offset.
    generation(generation_parameters parameters, text_variant variant,
               std::uint64_t skipped_tokens);

    [[nodiscard]] const generation_parameters& parameters() const { return parameters_; }
    [[nodiscard]] generation_progress progress() const;
    [[nodiscard]] change_signal& changed() { return changed_; }

    /// Offset of the first generated token.
    [[nodiscard]] std::uint64_t first_offset() const
    {
        return parameters_.prefix.size() + skipped_tokens_;
    }

    /// Token at `offset` of the whole answer, prefix included.
    [[nodiscard]] std::string token(std::uint64_t offset) const;

    /// Digest of the first `offset` tokens.
    [[nodiscard]] core::digest digest_at(std::uint64_t offset) const;

    /// Generates up to `tokens` tokens and ends at `max_tokens`. Adds their number to `total`
    /// before readers can see them.
    void produce(std::uint64_t tokens, std::atomic<std::uint64_t>& total);

    /// Ends the generation with `reason` unless it has ended already.
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
