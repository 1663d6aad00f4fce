#pragma once

#include <http/response.h>

#include <string>

namespace ej::front {

/// The status line and fields of `answer`, without the empty line that ends them.
[[nodiscard]] std::string head_text(const http::response& answer);

/// True if an answer with `status` never has a body.
[[nodiscard]] bool has_no_body(unsigned status);

/// `part` as a chunk of a chunked answer.
[[nodiscard]] std::string chunk_text(const std::string& part);

} // namespace ej::front
