#include "blocking_body.h"

namespace ej::harness {

absl::Status blocking_body::open(const core::address& where, const http_call& call)
{
    parser_.body_limit(boost::none);
    const auto opened = stream_.open(where, call);
    return opened.ok() ? stream_.read_header(parser_) : opened;
}

absl::StatusOr<std::string> blocking_body::read()
{
    while (parser_.get().body().empty()) {
        if (parser_.is_done()) {
            return absl::OutOfRangeError("the stream has ended");
        }
        auto status = stream_.read_some(parser_);
        if (!status.ok()) {
            return status;
        }
    }
    return std::exchange(parser_.get().body(), std::string{});
}

} // namespace ej::harness
