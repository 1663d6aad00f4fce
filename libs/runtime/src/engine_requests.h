#pragma once

#include <suspects/request_digest.h>

#include <compare>
#include <set>

namespace ej::runtime {

/// The requests that run at an engine; the same request may run there more than once.
struct engine_requests {
    std::multiset<suspects::request_digest> without_output;
    std::multiset<suspects::request_digest> after_output;

    friend auto operator<=>(const engine_requests&, const engine_requests&) = default;
};

} // namespace ej::runtime
