#include "store_result.h"

namespace ej::front {

using forwarding::store_result;

store_result store_result_of(const absl::Status& status)
{
    switch (status.code()) {
    case absl::StatusCode::kOk:
        return store_result::complete;
    case absl::StatusCode::kOutOfRange:
        return store_result::compacted;
    case absl::StatusCode::kResourceExhausted:
        return store_result::too_large;
    case absl::StatusCode::kDeadlineExceeded:
        return store_result::late;
    default:
        return store_result::unreachable;
    }
}

} // namespace ej::front
