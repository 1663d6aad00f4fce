#include <http/answer_deadline.h>

#include <algorithm>
#include <chrono>

namespace ej::http {

answer_deadline::answer_deadline(core::instant header_by, std::optional<body_pace> pace)
    : header_by_(header_by), pace_(pace)
{
}

// Only bytes of the body extend the time, so that the limit of the body's size bounds all of it,
// and a sender of single bytes is noticed like a silent one.
core::instant answer_deadline::for_body(core::instant header_at, std::size_t received,
                                        core::instant now) const
{
    if (!pace_) {
        return header_by_;
    }
    const std::chrono::duration<double> earned(static_cast<double>(received) /
                                               static_cast<double>(pace_->bytes_per_second));
    const auto end =
        header_at + pace_->silence + std::chrono::duration_cast<core::duration>(earned);
    return std::min(now + pace_->silence, end);
}

} // namespace ej::http
