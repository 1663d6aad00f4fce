#pragma once

#include <seal/secrets.h>

#include <optional>
#include <string>
#include <string_view>

namespace ej::seal {

/// Seals short texts so that a daemon knows its fleet's texts again: readable, not forgeable.
/// Immutable; thread-safe.
class sealer {
public:
    /// Seals and opens for one `purpose`; what was sealed for another does not open.
    sealer(secrets keys, std::string purpose);

    /// `text` with its HMAC-SHA256, in characters that headers and URLs carry.
    [[nodiscard]] std::string seal(std::string_view text) const;

    /// The sealed text, or nothing when no secret of ours sealed it for this purpose.
    [[nodiscard]] std::optional<std::string> open(std::string_view sealed) const;

private:
    secrets keys_;
    std::string purpose_;
};

} // namespace ej::seal
