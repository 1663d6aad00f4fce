#pragma once

#include <runtime/workspace_key.h>

#include <http/request.h>

#include <optional>
#include <vector>

namespace ej::runtime {

/// Authenticates callers as workspaces by their key. Immutable; thread-safe.
class workspace_keys {
public:
    explicit workspace_keys(std::vector<workspace_key> keys) : keys_(std::move(keys)) {}

    /// Returns the workspace of "Authorization: Bearer KEY", if the key is known. The comparison
    /// takes the same time for all unknown keys of one length.
    [[nodiscard]] std::optional<core::workspace_id> authenticate(const http::request& call) const;

private:
    std::vector<workspace_key> keys_;
};

} // namespace ej::runtime
