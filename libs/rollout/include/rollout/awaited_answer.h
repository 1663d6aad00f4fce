#pragma once

#include <core/instant.h>
#include <core/version_id.h>

#include <compare>
#include <string>

namespace ej::rollout {

/// A request that has had no output yet.
struct awaited_answer {
    std::string route;
    core::version_id version; ///< Of the endpoint.
    core::instant sent{};

    friend auto operator<=>(const awaited_answer&, const awaited_answer&) = default;
};

} // namespace ej::rollout
