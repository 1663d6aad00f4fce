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

/// Header data that the daemon adds to a request for one attempt.
struct request_head {
    std::chrono::milliseconds time_left{};
    core::endpoint_id expected_endpoint;
    core::workspace_id workspace;              ///< Empty: the field is omitted.
    std::optional<std::uint64_t> resume_after; ///< The event after which the stream resumes.
    std::string backup_at;                     ///< Empty: no copy is requested.
    std::string memory_from;                   ///< Empty: the engine reads the prompt.
};

/// Encodes the head of the request for an endpoint, which a body of `body_bytes` follows: that of
/// `incoming` without hop-by-hop fields, the caller's key, and fields that only the daemon may set.
[[nodiscard]] std::string encode_head(const caller_request& incoming, std::size_t body_bytes,
                                      const request_head& added, const header_names& names);

/// Size of the generation as declared by the caller; zeros when it is absent or malformed.
[[nodiscard]] forwarding::call_size size_of(const caller_request& incoming,
                                            const header_names& names);

/// Parses the load that an endpoint reports as "RUNNING,WAITING,SLOTS"; empty for any other text.
[[nodiscard]] std::optional<forwarding::load_report> load_of(std::string_view text);

/// Digest of a request's workspace, target and body, by which equal requests are recognised.
[[nodiscard]] suspects::request_digest request_digest_of(const core::workspace_id& workspace,
                                                         const caller_request& incoming);

/// The caller's own deadline; empty when it is absent or malformed.
[[nodiscard]] std::optional<std::chrono::milliseconds> deadline_of(const caller_request& incoming,
                                                                   const header_names& names);

/// The fields of an endpoint's answer that are forwarded to the caller.
[[nodiscard]] std::vector<http::header> answer_fields(const std::vector<http::header>& received);

} // namespace ej::front
