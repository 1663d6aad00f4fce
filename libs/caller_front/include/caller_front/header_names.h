#pragma once

#include <compare>
#include <string>
#include <vector>

namespace ej::front {

/// Names of the header fields that the front reads and sets. The defaults are the project's own.
struct header_names {
    // Set by the caller.
    std::string request_id = "EJ-Request-Id";    ///< Passed on; endpoints echo it.
    std::string deadline_ms = "EJ-Deadline-Ms";  ///< Time that is left; passed on reduced.
    std::string call_size = "EJ-Tokens";         ///< "PROMPT,OUTPUT" in tokens.
    std::string last_event_id = "Last-Event-ID"; ///< The stream goes on behind this event.
    std::string key_scheme = "Bearer";           ///< Of the Authorization field.
    // Set by the front.
    std::string expected_endpoint = "EJ-Endpoint"; ///< Any other endpoint refuses the request.
    std::string workspace = "EJ-Workspace";
    std::string backup_at = "EJ-Backup-At";     ///< HOST:PORT of the engine that keeps a copy.
    std::string memory_from = "EJ-Memory-From"; ///< HOST:PORT/REQUEST: goes on from that copy.
    // Set by endpoints.
    std::string signature = "EJ-Signature";  ///< On every answer that an endpoint produced.
    std::string not_executed = "EJ-Not-Run"; ///< The endpoint did not run the request.
    std::string load = "EJ-Load";            ///< "RUNNING,WAITING,SLOTS".
    /// Fields that only the front may set; a caller's are dropped.
    std::vector<std::string> reserved;

    friend auto operator<=>(const header_names&, const header_names&) = default;
};

} // namespace ej::front
