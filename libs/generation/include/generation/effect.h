#pragma once

#include <generation/cause.h>
#include <generation/effect_kind.h>

#include <core/attempt_number.h>
#include <core/endpoint_id.h>
#include <core/token_offset.h>

#include <compare>
#include <string>
#include <vector>

namespace ej::generation {

/// One effect. Fields that its kind does not use stay empty.
struct effect {
    effect_kind kind = effect_kind::close;
    core::attempt_number attempt;
    core::token_offset offset;
    core::endpoint_id endpoint;
    std::vector<std::string> tokens; ///< For `deliver`.
    generation::cause cause = generation::cause::none;

    friend auto operator<=>(const effect&, const effect&) = default;
};

} // namespace ej::generation
