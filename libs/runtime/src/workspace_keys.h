#pragma once

#include <runtime/workspace_key.h>

#include <http/request.h>

#include <optional>
#include <vector>

namespace ej::runtime {

/// Tells by its key as which workspace a caller speaks. Immutable; thread-safe.
class workspace_keys {
public:
    explicit workspace_keys(std::vector<workspace_key> keys) : keys_(std::move(keys)) {}

    /// The workspace of "Authorization: Bearer KEY", if the key is known. Takes the same time for
    /// each unknown key.
    [[nodiscard]] std::optional<core::workspace_id> authenticate(const http::request& call) const;

private:
    std::vector<workspace_key> keys_;
};

} // namespace ej::runtime
