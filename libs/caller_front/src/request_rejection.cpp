#include "request_rejection.h"

#include "local_reply.h"

namespace ej::front {

request_rejection rejection_of(request_fault fault)
{
    switch (fault) {
    case request_fault::unknown_coding:
        return {status_not_implemented, "unknown_transfer_coding"};
    case request_fault::header_too_large:
        return {status_header_too_large, "header_too_large"};
    case request_fault::body_too_large:
        return {status_body_too_large, "body_too_large"};
    case request_fault::malformed:
        break;
    }
    return {status_bad_request, "malformed"};
}

} // namespace ej::front
