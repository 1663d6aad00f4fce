#pragma once

#include <seal/secrets.h>

#include <optional>
#include <string>
#include <string_view>

namespace ej::seal {

/// Signs short texts with a secret of the fleet, so that any daemon can verify that a daemon of the
/// fleet issued them. The text is not encrypted. Immutable; thread-safe.
class sealer {
public:
    /// Seals and opens texts for one `purpose`; `open` rejects texts sealed for another purpose.
    sealer(secrets keys, std::string purpose);

    /// `text` and its HMAC-SHA256, encoded in characters that are safe in headers and URLs.
    [[nodiscard]] std::string seal(std::string_view text) const;

    /// The original text; empty unless it was sealed with one of the secrets for this purpose.
    [[nodiscard]] std::optional<std::string> open(std::string_view sealed) const;

private:
    secrets keys_;
    std::string purpose_;
};

} // namespace ej::seal
