#include <harness/event_stream.h>

#include "blocking_body.h"

#include <array>
#include <string_view>
#include <utility>

namespace ej::harness {

namespace {

using field = std::pair<std::string_view, std::string sse_event::*>;
constexpr std::array<field, 3> fields{
    {{"event: ", &sse_event::name}, {"id: ", &sse_event::id}, {"data: ", &sse_event::data}}};

sse_event parse_event(std::string_view text)
{
    sse_event parsed;
    while (!text.empty()) {
        const auto line = text.substr(0, text.find('\n'));
        for (const auto& [prefix, member] : fields) {
            if (line.starts_with(prefix)) {
                parsed.*member = std::string(line.substr(prefix.size()));
            }
        }
        text.remove_prefix(std::min(line.size() + 1, text.size()));
    }
    return parsed;
}

} // namespace

event_stream::event_stream(std::unique_ptr<blocking_body> body) : body_(std::move(body)) {}
event_stream::~event_stream() = default;
event_stream::event_stream(event_stream&&) noexcept = default;
event_stream& event_stream::operator=(event_stream&&) noexcept = default;

absl::StatusOr<event_stream> event_stream::open(const core::address& where, const http_call& call)
{
    auto body = std::make_unique<blocking_body>();
    auto status = body->open(where, call);
    if (!status.ok()) {
        return status;
    }
    return event_stream(std::move(body));
}

unsigned event_stream::status() const
{
    return body_->status();
}

absl::StatusOr<sse_event> event_stream::next()
{
    constexpr std::string_view blank_line = "\n\n";
    for (;;) {
        const auto end = unread_.find(blank_line);
        if (end != std::string::npos) {
            auto event = parse_event(std::string_view(unread_).substr(0, end));
            unread_.erase(0, end + blank_line.size());
            return event;
        }
        const auto part = body_->read();
        if (!part.ok()) {
            return part.status();
        }
        unread_ += *part;
    }
}

} // namespace ej::harness
