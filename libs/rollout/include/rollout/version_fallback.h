#pragma once

namespace ej::rollout {

/// When a request may use the versions that its rule does not prefer.
enum class version_fallback {
    never,
    if_none_listed, ///< If no endpoint of the preferred versions is registered.
    if_none_accepts ///< If no endpoint of the preferred versions accepts requests.
};

} // namespace ej::rollout
