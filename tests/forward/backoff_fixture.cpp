#include "backoff_fixture.h"

#include <fleet/endpoint_stand_in.h>

#include <chrono>

namespace ej::forward_tests {

namespace {

using fleet::step;
using fleet::step_kind;

constexpr int last_event = 12;
constexpr int last_before_break = 5;

/// First event that `request` asks for.
int first_event(const std::string& request)
{
    const auto last_event_id = fleet::header_value(request, "Last-Event-Id");
    return last_event_id.empty() ? 1 : std::stoi(last_event_id) + 1;
}

std::vector<step> events(const std::string& request, int last)
{
    std::vector<step> steps{{step_kind::send, fleet::stream_head(request)}};
    for (int id = first_event(request); id <= last; ++id) {
        steps.push_back({step_kind::send, fleet::event_chunk(id)});
    }
    return steps;
}

} // namespace

std::vector<step> serve_at_once(const std::string& request, int)
{
    return {{step_kind::send, fleet::signed_answer(request, 200, "done")}};
}

std::vector<step> serve_events(const std::string& request, int)
{
    auto steps = events(request, last_event);
    steps.push_back({step_kind::send, fleet::last_chunk()});
    return steps;
}

std::vector<step> break_after_event_5(const std::string& request, int)
{
    auto steps = events(request, last_before_break);
    steps.push_back({step_kind::reset, ""});
    return steps;
}

std::string all_events()
{
    std::string text;
    for (int id = 1; id <= last_event; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: word" + std::to_string(id) + "\n\n";
    }
    return text;
}

std::string backoff_request(const std::string& path, const std::string& id)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nEndivejunction-Attempt-Id: " + id +
           "\r\nAuthorization: Token k1\r\nEndivejunction-Token-Usage: 5000,72\r\n"
           "Content-Length: 6\r\n\r\nprompt";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace ej::forward_tests
