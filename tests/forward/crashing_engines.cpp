#include "crashing_engines.h"

#include <chrono>

namespace ej::forward_tests {

namespace {

using fleet::step_kind;
using std::chrono::milliseconds;

constexpr int domains = 3;
constexpr milliseconds time_before_crash{20};
constexpr milliseconds down_time{50};

} // namespace

crashing_engines::crashing_engines(daemon_fixture& fixture, bool after_output)
    : fixture_(fixture), after_output_(after_output)
{
    for (int number = 0; number < count; ++number) {
        engines_.push_back(std::make_unique<fleet::endpoint_stand_in>(
            [this](const std::string& request, int) { return answer(request); },
            [this, number] { register_next(number); }));
        register_next(number);
    }
}

std::vector<fleet::step> crashing_engines::answer(const std::string& request)
{
    const auto last = fleet::header_value(request, "Last-Event-Id");
    const int next = last.empty() ? 1 : std::stoi(last) + 1;
    const auto output = fleet::stream_head(request) + fleet::event_chunk(next);
    if (!request.ends_with(crashing_body)) {
        return {{step_kind::send, output + fleet::last_chunk()}};
    }
    ++runs_;
    return {{step_kind::send, after_output_ ? output : std::string()},
            {step_kind::wait, "", time_before_crash},
            {step_kind::crash, "", down_time}};
}

// A crashed engine is back under a new name.
void crashing_engines::register_next(int number)
{
    const int start = starts_++;
    fixture_.add("e" + std::to_string(start), "llm", *engines_.at(static_cast<std::size_t>(number)),
                 "z" + std::to_string(number % domains), "ready", start + 1);
}

} // namespace ej::forward_tests
