#include <operator_api/operator_key.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>
#include <utility>

namespace ej::operator_api {

namespace {

using key_digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

key_digest digest_of(std::string_view text)
{
    key_digest digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return digest;
}

} // namespace

operator_key::operator_key(std::string key) : key_(std::move(key)) {}

bool operator_key::matches(std::string_view presented) const
{
    // Digests have a fixed length, so the comparison time does not reveal the length of the key.
    const key_digest expected = digest_of(key_);
    const key_digest given = digest_of(presented);
    return CRYPTO_memcmp(expected.data(), given.data(), expected.size()) == 0 && !key_.empty();
}

} // namespace ej::operator_api
