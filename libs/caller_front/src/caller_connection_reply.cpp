#include "answer_text.h"
#include "caller_connection.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace ej::front {

namespace {

// Limit for output buffered for a slow caller; without it the buffer of a stream would grow without
// bound.
constexpr std::size_t max_unsent_bytes = std::size_t{4} << 20;

// The fields that `reply` adds to a head.
constexpr std::size_t more_fields_bytes = 128;

} // namespace

void caller_connection::reply(const http::response& answer)
{
    if (phase_ != phase::answering) {
        return;
    }
    auto text = head_text(answer);
    text.reserve(text.size() + answer.body.size() + more_fields_bytes);
    const bool no_body = has_no_body(answer.status);
    if (!no_body && !head_only_) {
        absl::StrAppend(&text, "Content-Length: ", answer.body.size(), "\r\n");
    }
    keep_alive_ = !announces_close();
    if (!keep_alive_) {
        absl::StrAppend(&text, "Connection: close\r\n");
    }
    absl::StrAppend(&text, "\r\n");
    if (!no_body && !head_only_) {
        text += answer.body;
    }
    output_memory_.take_over(text.size());
    send(std::move(text), true);
}

void caller_connection::start_stream(const http::response& head)
{
    if (phase_ != phase::answering) {
        return;
    }
    auto text = head_text(head);
    keep_alive_ = chunked_ && !announces_close();
    unframed_ = !chunked_;
    reset_on_close(true);
    absl::StrAppend(&text, chunked_ ? "Transfer-Encoding: chunked\r\n" : "",
                    keep_alive_ ? "" : "Connection: close\r\n", "\r\n");
    send(text, false);
}

void caller_connection::write(const std::string& part)
{
    if (phase_ != phase::answering || part.empty()) {
        return;
    }
    if (output_.waiting() > max_unsent_bytes || !output_memory_.resize(output_.unsent())) {
        disconnect(connection_end::output_limit);
        return;
    }
    send(chunked_ ? chunk_text(part) : part, false);
}

void caller_connection::finish()
{
    if (phase_ == phase::answering) {
        send(chunked_ ? "0\r\n\r\n" : "", true);
    }
}

} // namespace ej::front
