#include <seal/keyed_digest.h>

#include "hmac.h"

#include <numeric>

namespace ej::seal {

namespace {

constexpr std::size_t half_bytes = 8;

std::uint64_t big_endian(std::string_view bytes)
{
    return std::accumulate(bytes.begin(), bytes.end(), std::uint64_t{0},
                           [](std::uint64_t value, char byte) {
                               return value << 8U | static_cast<unsigned char>(byte);
                           });
}

} // namespace

keyed_digest digest(const secret& key, std::string_view text)
{
    const std::string code = hmac_sha256(key, text);
    const std::string_view bytes = code;
    return {big_endian(bytes.substr(0, half_bytes)),
            big_endian(bytes.substr(half_bytes, half_bytes))};
}

} // namespace ej::seal
