#pragma once

#include <compare>
#include <string>
#include <vector>

namespace ej::front {

/// Names of the header fields that the daemon reads and sets. The defaults are the project's own.
struct header_names {
    // Set by the caller.
    std::string request_id = "EJ-Request-Id";     ///< Forwarded; endpoints echo it.
    std::string deadline_ms = "EJ-Deadline-Ms";   ///< Remaining time; reduced on forwarding.
    std::string call_size = "EJ-Tokens";          ///< "PROMPT,OUTPUT" in tokens.
    std::string prompt_parts = "EJ-Prompt-Parts"; ///< "ID:TOKENS,ID:TOKENS", IDs in hexadecimal.
    std::string last_event_id = "Last-Event-ID";  ///< The stream resumes after this event.
    std::string key_scheme = "Bearer";            ///< Scheme of the Authorization field.
    // Set by the daemon.
    std::string expected_endpoint = "EJ-Endpoint"; ///< Any other endpoint rejects the request.
    std::string workspace = "EJ-Workspace";
    std::string backup_at = "EJ-Backup-At";     ///< HOST:PORT of the engine that keeps a copy.
    std::string memory_from = "EJ-Memory-From"; ///< HOST:PORT/REQUEST: resumes from that copy.
    // Set by endpoints.
    std::string signature = "EJ-Signature";  ///< On every answer that an endpoint itself produced.
    std::string not_executed = "EJ-Not-Run"; ///< The endpoint did not execute the request.
    std::string load = "EJ-Load";            ///< "RUNNING,WAITING,SLOTS".
    std::string leaving = "EJ-Leaving";      ///< "1": the endpoint takes no further requests.
    // Set by endpoints and, in its own refusals, by the daemon.
    std::string retry_after = "Retry-After"; ///< Seconds, which may have a fraction.
    /// Fields that only the daemon may set; those from callers are removed.
    std::vector<std::string> reserved;

    friend auto operator<=>(const header_names&, const header_names&) = default;
};

} // namespace ej::front
