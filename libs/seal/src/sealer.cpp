#include <seal/sealer.h>

#include "hmac.h"

#include <absl/strings/escaping.h>

#include <openssl/crypto.h>

#include <algorithm>
#include <utility>

namespace ej::seal {

namespace {

constexpr char separator = '.';

// The zero byte ends the purpose, so that no purpose is a prefix of another.
std::string sealed_with(const secret& key, const std::string& purpose, std::string_view text)
{
    const std::string code = hmac_sha256(key, purpose + '\0' + std::string(text));
    return absl::WebSafeBase64Escape(absl::string_view(text.data(), text.size())) + separator +
           absl::WebSafeBase64Escape(code);
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

sealer::sealer(secrets keys, std::string purpose)
    : keys_(std::move(keys)), purpose_(std::move(purpose))
{
}

std::string sealer::seal(std::string_view text) const
{
    return sealed_with(keys_.list.at(0), purpose_, text);
}

std::optional<std::string> sealer::open(std::string_view sealed) const
{
    const auto dot = sealed.rfind(separator);
    std::string text;
    if (dot == std::string_view::npos ||
        !absl::WebSafeBase64Unescape(absl::string_view(sealed.data(), dot), &text)) {
        return std::nullopt;
    }
    // Comparing with a newly sealed text, instead of decoding the HMAC, accepts only one encoding
    // of each text.
    const bool ours = std::ranges::any_of(keys_.list, [&](const secret& key) {
        return equal_in_constant_time(sealed, sealed_with(key, purpose_, text));
    });
    return ours ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace ej::seal
