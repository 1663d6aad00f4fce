#pragma once

#include <core/instant.h>
#include <core/refusal_reason.h>
#include <fairness/queued_request.h>
#include <routing/endpoint_assignment.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace ej::measure {

/// One request and its outcome.
struct job {
    fairness::queued_request queued_request;
    std::size_t class_index = 0; ///< Index in `classes()`.
    double work = 0;             ///< Tokens of the complete answer.
    double done = 0;             ///< Tokens that earlier attempts delivered.
    std::size_t daemon = 0;
    std::uint64_t daemon_run = 0;
    std::optional<routing::endpoint_assignment> where{};
    core::instant sent{};
    std::optional<core::instant> first_output{};
    std::optional<core::instant> ended{};
    std::optional<core::refusal_reason> refused{};
    bool failed = false;
};

} // namespace ej::measure
