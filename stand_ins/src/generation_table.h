#pragma once

#include "request_attempts.h"

#include <concurrency/sharded.h>

#include <cstdint>
#include <memory>
#include <string>

namespace ej::stand_ins {

/// The attempts that an engine knows; a higher one supersedes lower ones. Thread-safe.
class generation_table {
public:
    /// Enters `next` and cancels the attempt that it supersedes; false if `next` is superseded.
    [[nodiscard]] bool start(const std::shared_ptr<generation>& next);

    /// The attempt, or empty when it is not known here.
    [[nodiscard]] std::shared_ptr<generation> find(const std::string& request,
                                                   std::uint64_t attempt);

    /// Ends `attempt` and all lower ones, now and for later.
    void cancel(const std::string& request, std::uint64_t attempt);

    /// Forgets `ended`, unless a later attempt stands in its place.
    void remove_if_current(const std::shared_ptr<generation>& ended);

private:
    concurrency::sharded<std::string, request_attempts> requests_;
};

} // namespace ej::stand_ins
