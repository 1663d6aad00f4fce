#include <harness/http_client.h>

#include "blocking_stream.h"

namespace ej::harness {

absl::StatusOr<http_result> send(const core::address& where, const http_call& call)
{
    blocking_stream stream;
    blocking_stream::parser parser;
    auto status = stream.open(where, call);
    if (status.ok()) {
        status = stream.read_all(parser);
    }
    if (!status.ok()) {
        return status;
    }
    return http_result{parser.get().result_int(), parser.get().body()};
}

} // namespace ej::harness
