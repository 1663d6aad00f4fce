#pragma once

#include "caller_request.h"

#include <caller_front/header_names.h>

#include <forwarding/call_size.h>
#include <forwarding/load_report.h>

#include <suspects/request_digest.h>

#include <core/endpoint.h>
#include <core/workspace_id.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ej::front {

/// What the front adds to a request for one attempt.
struct request_head {
    std::chrono::milliseconds time_left{};
    core::endpoint_id expected_endpoint;
    core::workspace_id workspace;              ///< Empty: none is named.
    std::optional<std::uint64_t> resume_after; ///< The event after which the stream goes on.
    std::string backup_at;                     ///< Empty: no copy is asked for.
    std::string memory_from;                   ///< Empty: the prompt is read.
};

/// The request as it goes to an endpoint: `incoming` without the fields that concern the caller's
/// connection, the key, and those that only the front may set.
[[nodiscard]] std::string encode(const caller_request& incoming, const request_head& added,
                                 const header_names& names);

/// Size of the generation that the caller states; zeros when it states none.
[[nodiscard]] forwarding::call_size size_of(const caller_request& incoming,
                                            const header_names& names);

/// The load that an endpoint states as "RUNNING,WAITING,SLOTS"; empty for any other text.
[[nodiscard]] std::optional<forwarding::load_report> load_of(std::string_view text);

/// Tells requests apart by what they ask: workspace, path and body.
[[nodiscard]] suspects::request_digest request_digest_of(const core::workspace_id& workspace,
                                                         const caller_request& incoming);

/// The caller's own deadline, if it states a readable one.
[[nodiscard]] std::optional<std::chrono::milliseconds> deadline_of(const caller_request& incoming,
                                                                   const header_names& names);

/// The fields of an endpoint's answer that go to the caller.
[[nodiscard]] std::vector<http::header> answer_fields(const std::vector<http::header>& received);

} // namespace ej::front
