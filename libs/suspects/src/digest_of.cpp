#include <suspects/digest_of.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ej::suspects {

request_digest digest_of(const core::workspace_id& workspace, std::string_view body)
{
    // The hash of the workspace seeds the hash of the body. Concatenating them instead would let
    // different
    // pairs yield the same input.
    const auto seed = XXH3_64bits(workspace.text().data(), workspace.text().size());
    return request_digest(XXH3_64bits_withSeed(body.data(), body.size(), seed));
}

} // namespace ej::suspects
