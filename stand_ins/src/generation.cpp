#include "generation.h"

#include <stand_ins/token_text.h>

#include <algorithm>
#include <utility>

namespace ej::stand_ins {

generation::generation(generation_parameters parameters, text_variant variant,
                       std::uint64_t skipped_tokens)
    : parameters_(std::move(parameters)), variant_(variant), skipped_tokens_(skipped_tokens)
{
    progress_.offset = first_offset();
    if (progress_.offset >= parameters_.max_tokens) {
        progress_.end_reason = "length";
    }
}

generation_progress generation::progress() const
{
    const std::scoped_lock lock(mutex_);
    return progress_;
}

// With `text_variant::other` the text differs from offset 0 on, and the given prefix is ignored.
std::string generation::token(std::uint64_t offset) const
{
    const bool from_prefix = variant_ == text_variant::usual && offset < parameters_.prefix.size();
    return from_prefix ? parameters_.prefix[offset]
                       : token_at(parameters_.prompt, offset, variant_);
}

core::digest generation::digest_at(std::uint64_t offset) const
{
    core::digest digest;
    for (std::uint64_t position = 0; position < offset; ++position) {
        digest = extend_digest(digest, token(position));
    }
    return digest;
}

void generation::produce(std::uint64_t tokens, std::atomic<std::uint64_t>& total)
{
    {
        const std::scoped_lock lock(mutex_);
        if (progress_.finished()) {
            return;
        }
        const auto made = std::min(tokens, parameters_.max_tokens - progress_.offset);
        total += made;
        progress_.offset += made;
        if (progress_.offset == parameters_.max_tokens) {
            progress_.end_reason = "length";
        }
    }
    changed_.notify();
}

void generation::finish(const std::string& reason)
{
    {
        const std::scoped_lock lock(mutex_);
        if (progress_.finished()) {
            return;
        }
        progress_.end_reason = reason;
    }
    changed_.notify();
}

} // namespace ej::stand_ins
