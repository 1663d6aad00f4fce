#include <suspects/digest_of.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <memory>

namespace ej::suspects {

namespace {

/// The hash of the workspace seeds the hash of the body. Concatenating them instead would let
/// different pairs yield the same input.
XXH64_hash_t seed_of(const core::workspace_id& workspace)
{
    return XXH3_64bits(workspace.text().data(), workspace.text().size());
}

} // namespace

request_digest digest_of(const core::workspace_id& workspace, std::string_view body)
{
    return request_digest(XXH3_64bits_withSeed(body.data(), body.size(), seed_of(workspace)));
}

request_digest digest_of(const core::workspace_id& workspace,
                         std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_64bits_reset_withSeed(state.get(), seed_of(workspace));
    for (const std::string_view part : parts) {
        XXH3_64bits_update(state.get(), part.data(), part.size());
    }
    return request_digest(XXH3_64bits_digest(state.get()));
}

} // namespace ej::suspects
