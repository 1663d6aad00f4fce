#pragma once

#include "beast.h"

#include <http/framing_check.h>

namespace ej::http {

/// Reads the header of a message into `parser`; bytes behind it stay in `buffer`. Returns the error
/// of a read or of the parser, `bad_transfer_encoding` for a header that `check` refuses.
template <bool IsRequest>
asio::awaitable<boost::system::error_code>
read_header(beast::tcp_stream& stream, beast::flat_buffer& buffer,
            wire::basic_parser<IsRequest>& parser, framing_check& check);

} // namespace ej::http
