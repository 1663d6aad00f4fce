#pragma once

#include "blocking_stream.h"

#include <absl/status/statusor.h>

#include <string>

namespace ej::harness {

/// The body of a response, read in parts as they arrive.
class blocking_body {
public:
    /// Sends `call` and reads the response header.
    absl::Status open(const core::address& where, const http_call& call);

    [[nodiscard]] unsigned status() const { return parser_.get().result_int(); }

    /// The next part. Errors: OutOfRange after a complete body, Unavailable when the connection
    /// broke.
    absl::StatusOr<std::string> read();

private:
    blocking_stream stream_;
    blocking_stream::parser parser_;
};

} // namespace ej::harness
