#include "handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace ej::peer {

namespace {

// Each part is prefixed with its length, so that different lists of parts never give the same text.
void append_part(std::string& text, const std::string& part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

} // namespace

std::string make_nonce()
{
    std::array<unsigned char, nonce_bytes> bytes{};
    if (RAND_bytes(bytes.data(), nonce_bytes) != 1) {
        throw std::runtime_error("cannot generate random bytes for a nonce");
    }
    return {bytes.begin(), bytes.end()};
}

std::string make_proof(const std::string& secret, bool initiator, const peer_identity& sender,
                       const std::string& own_nonce, const std::string& remote_nonce)
{
    std::string text;
    append_part(text, initiator ? "initiator" : "acceptor");
    append_part(text, sender.name);
    append_part(text, sender.domain);
    append_part(text, sender.address.host);
    append_part(text, std::to_string(sender.address.port));
    append_part(text, own_nonce);
    append_part(text, remote_nonce);
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), mac.data(), &size);
    return {mac.begin(), mac.begin() + size};
}

bool equal_proofs(const std::string& left, const std::string& right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace ej::peer
