#pragma once

#include "request_attempts.h"

#include <concurrency/sharded.h>

#include <cstdint>
#include <memory>
#include <string>

namespace ej::stand_ins {

/// The latest attempt of each request on an engine; a higher attempt supersedes lower ones.
/// Thread-safe.
class generation_table {
public:
    /// Adds `next` and cancels the attempt that it supersedes; false if `next` itself is superseded
    /// or cancelled.
    [[nodiscard]] bool start(const std::shared_ptr<generation>& next);

    /// The attempt, or null if it is not the current attempt of `request`.
    [[nodiscard]] std::shared_ptr<generation> find(const std::string& request,
                                                   std::uint64_t attempt);

    /// Cancels `attempt` and all lower ones, and rejects them if they are started later.
    void cancel(const std::string& request, std::uint64_t attempt);

    /// Removes `ended` unless a later attempt has replaced it.
    void remove_if_current(const std::shared_ptr<generation>& ended);

private:
    concurrency::sharded<std::string, request_attempts> requests_;
};

} // namespace ej::stand_ins
