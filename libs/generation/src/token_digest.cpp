#include <generation/token_digest.h>

#include <xxhash.h>

#include <numeric>

namespace ej::generation {

core::digest extend(core::digest before, std::span<const std::string> tokens)
{
    return std::accumulate(
        tokens.begin(), tokens.end(), before, [](core::digest so_far, const std::string& token) {
            return core::digest(XXH3_64bits_withSeed(token.data(), token.size(), so_far.value()));
        });
}

} // namespace ej::generation
