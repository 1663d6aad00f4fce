#include "hmac.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace ej::seal {

std::string hmac_sha256(const secret& key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.bytes.data(), static_cast<int>(key.bytes.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), code.data(), &size);
    return {code.begin(), code.begin() + size};
}

} // namespace ej::seal
