#include "json.h"

#include <wire/sse.h>

namespace ej::wire {

namespace {

std::string event_text(std::string_view name, std::string_view id, const json& data)
{
    std::string text;
    if (!id.empty()) {
        text.append("id: ").append(id).append("\n");
    }
    text.append("event: ").append(name).append("\ndata: ").append(write_json(data)).append("\n\n");
    return text;
}

} // namespace

std::string start_event(const core::request_id& request)
{
    return event_text("start", {}, {{"request", request.text()}});
}

std::string tokens_event(std::string_view id, core::token_offset offset,
                         std::span<const std::string> tokens)
{
    json list = json::array();
    for (const auto& token : tokens) {
        list.push_back(token);
    }
    return event_text("tokens", id, {{"offset", offset.value()}, {"tokens", std::move(list)}});
}

std::string end_event(core::token_offset total)
{
    return event_text("end", {}, {{"total", total.value()}});
}

std::string error_event(std::string_view kind, std::string_view reason,
                        std::chrono::milliseconds retry_after)
{
    return event_text(
        "error", {}, {{"kind", kind}, {"reason", reason}, {"retry_after_ms", retry_after.count()}});
}

} // namespace ej::wire
