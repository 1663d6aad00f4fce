#include "read_header.h"

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace ej::http {

namespace {

constexpr std::size_t read_bytes = 4'096;

/// Moves bytes of the header from `buffer` to `parser`.
template <bool IsRequest>
boost::system::error_code parse_header(beast::flat_buffer& buffer,
                                       wire::basic_parser<IsRequest>& parser, framing_check& check)
{
    const auto received = buffer.data();
    if (check.inspect({static_cast<const char*>(received.data()), received.size()}) !=
        framing_fault::none) {
        return wire::error::bad_transfer_encoding;
    }
    boost::system::error_code error;
    const auto used = parser.put(received, error);
    buffer.consume(used);
    check.consumed(used);
    return error == wire::error::need_more ? boost::system::error_code() : error;
}

/// The error of a parser whose input has ended.
template <bool IsRequest>
boost::system::error_code error_at_end(const wire::basic_parser<IsRequest>& parser)
{
    return parser.got_some() ? wire::error::partial_message : wire::error::end_of_stream;
}

} // namespace

template <bool IsRequest>
asio::awaitable<boost::system::error_code>
read_header(beast::tcp_stream& stream, beast::flat_buffer& buffer,
            wire::basic_parser<IsRequest>& parser, framing_check& check)
{
    // Otherwise the parser would read on, and add trailer fields to the header.
    parser.eager(false);
    boost::system::error_code error;
    while (!error) {
        if (buffer.size() > 0) {
            error = parse_header(buffer, parser, check);
        }
        if (error || parser.is_header_done()) {
            break;
        }
        const auto room = std::min(read_bytes, buffer.max_size() - buffer.size());
        if (room == 0) {
            error = wire::error::buffer_overflow;
            break;
        }
        const auto space = buffer.prepare(room);
        const auto count = co_await stream.async_read_some(space, no_throw(error));
        buffer.commit(count);
        if (error == asio::error::eof) {
            error = error_at_end(parser);
        }
    }
    co_return error;
}

template asio::awaitable<boost::system::error_code> read_header(beast::tcp_stream& stream,
                                                                beast::flat_buffer& buffer,
                                                                wire::basic_parser<true>& parser,
                                                                framing_check& check);
template asio::awaitable<boost::system::error_code> read_header(beast::tcp_stream& stream,
                                                                beast::flat_buffer& buffer,
                                                                wire::basic_parser<false>& parser,
                                                                framing_check& check);

} // namespace ej::http
