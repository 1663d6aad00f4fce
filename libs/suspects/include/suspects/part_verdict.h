#pragma once

#include <suspects/part_digest.h>
#include <suspects/verdict.h>

#include <core/instant.h>

#include <compare>
#include <vector>

namespace ej::suspects {

/// How a request with certain parts may run.
struct part_verdict {
    verdict how = verdict::run;
    std::vector<part_digest> held; ///< The parts that keep it from running normally.
    core::duration retry_after{};  ///< Of a refusal: pause until the caller may come again.

    friend auto operator<=>(const part_verdict&, const part_verdict&) = default;
};

} // namespace ej::suspects
