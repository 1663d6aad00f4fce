#pragma once

#include <core/class_id.h>
#include <core/request_id.h>
#include <core/work_class.h>
#include <core/workspace_id.h>
#include <generation/state.h>
#include <wire/engine_request.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ej::runtime {

/// The initial state of a generation at this daemon: new, or resumed from a cursor.
struct generation_start {
    core::workspace_id workspace;
    core::request_id request;
    core::work_class work_class;
    std::optional<std::string> prompt; ///< Empty if the caller only resumes the stream.
    std::uint32_t max_tokens = 0;
    std::vector<std::string> delivered; ///< Tokens before state.next; only needed with a prompt.
    generation::state state;

    friend auto operator<=>(const generation_start&, const generation_start&) = default;
};

/// The request to the engine for the current attempt: to continue after the delivered tokens.
[[nodiscard]] wire::engine_request order_of(const generation_start& start,
                                            const generation::state& state);

} // namespace ej::runtime
