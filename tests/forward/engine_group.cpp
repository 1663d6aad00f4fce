#include "engine_group.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ej::forward_tests {

namespace {

using fleet::step;
using fleet::step_kind;

constexpr std::chrono::milliseconds down_time{1'200};
constexpr int events = 3;
const std::array<std::string, 3> domains{"z1", "z2", "z3"};

/// The head of a stream that ends with its connection.
std::string unframed_head(const std::string& request)
{
    const std::string framing = "Transfer-Encoding: chunked\r\n";
    auto head = fleet::stream_head(request);
    return head.erase(head.find(framing), framing.size());
}

} // namespace

engine_group::engine_group(daemon_fixture& fixture, std::set<std::string> crashing_parts,
                           std::chrono::milliseconds read_time)
    : fixture_(fixture), crashing_parts_(std::move(crashing_parts)), read_time_(read_time),
      engines_(count)
{
    for (std::size_t number = 0; number < engines_.size(); ++number) {
        engines_[number].domain = domains.at(number % domains.size());
        engines_[number].endpoint = std::make_unique<fleet::endpoint_stand_in>(
            [this, number](const std::string& request, int) { return answer(number, request); },
            [this, number] { register_next(number); });
        register_next(number);
    }
}

std::string engine_group::name_of(std::size_t number, int incarnation)
{
    return "i-" + std::to_string(number) + "-" + std::to_string(incarnation);
}

void engine_group::register_next(std::size_t number)
{
    const std::scoped_lock lock(mutex_);
    engine& one = engines_[number];
    if (one.incarnation > 0) {
        fixture_.store.remove("servers/" + name_of(number, one.incarnation));
    }
    ++one.incarnation;
    fixture_.add(name_of(number, one.incarnation), "llm", *one.endpoint, one.domain, "ready",
                 one.incarnation);
}

void engine_group::unregister()
{
    const std::scoped_lock lock(mutex_);
    for (std::size_t number = 0; number < engines_.size(); ++number) {
        fixture_.store.remove("servers/" + name_of(number, engines_[number].incarnation));
    }
}

void engine_group::register_again()
{
    const std::scoped_lock lock(mutex_);
    for (std::size_t number = 0; number < engines_.size(); ++number) {
        const engine& one = engines_[number];
        fixture_.add(name_of(number, one.incarnation), "llm", *one.endpoint, one.domain, "ready",
                     one.incarnation);
    }
}

bool engine_group::crashes_on(const std::string& request) const
{
    return std::ranges::any_of(
        crashing_parts_, [&](const auto& part) { return fleet::has_prompt_part(request, part); });
}

std::vector<step> engine_group::answer(std::size_t number, const std::string& request)
{
    const std::scoped_lock lock(mutex_);
    engine& one = engines_[number];
    if (fleet::header_value(request, "Endivejunction-Expected-Instance") !=
        name_of(number, one.incarnation)) {
        return {{step_kind::send,
                 fleet::signed_answer(request, 421, "", "Endivejunction-Not-Executed: true\r\n")}};
    }
    run_.push_back(request);
    if (crashes_on(request)) {
        const auto head = heads_before_crashes_ ? unframed_head(request) : std::string();
        return {{step_kind::wait, "", read_time_}, {step_kind::crash, head, down_time}};
    }
    const auto last_event_id = fleet::header_value(request, "Last-Event-Id");
    std::vector<step> steps{{step_kind::wait, "", read_time_},
                            {step_kind::send, fleet::stream_head(request)}};
    for (int id = last_event_id.empty() ? 1 : std::stoi(last_event_id) + 1; id <= events; ++id) {
        steps.push_back({step_kind::send, fleet::event_chunk(id)});
        steps.push_back({step_kind::wait, "", std::chrono::milliseconds(5)});
    }
    steps.push_back({step_kind::send, fleet::last_chunk()});
    return steps;
}

std::string engine_group::whole_stream()
{
    std::string text;
    for (int id = 1; id <= events; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: word" + std::to_string(id) + "\n\n";
    }
    return text;
}

void engine_group::crash_domain(const std::string& domain)
{
    const std::scoped_lock lock(mutex_);
    for (engine& one : engines_) {
        if (one.domain == domain) {
            one.endpoint->crash(down_time);
        }
    }
}

bool engine_group::wait_until_back() const
{
    return daemon_fixture::wait_until([this] {
        const std::scoped_lock lock(mutex_);
        return std::ranges::all_of(engines_, [](const engine& one) {
            return one.incarnation == one.endpoint->crashes() + 1;
        });
    });
}

int engine_group::arrivals_with_part(const std::string& id) const
{
    const std::scoped_lock lock(mutex_);
    return static_cast<int>(std::ranges::count_if(
        run_, [&](const std::string& request) { return fleet::has_prompt_part(request, id); }));
}

int engine_group::arrivals_of(const std::string& id) const
{
    const std::scoped_lock lock(mutex_);
    return static_cast<int>(std::ranges::count_if(run_, [&](const std::string& request) {
        return fleet::header_value(request, "Endivejunction-Attempt-Id") == id;
    }));
}

int engine_group::arrivals() const
{
    const std::scoped_lock lock(mutex_);
    return static_cast<int>(run_.size());
}

} // namespace ej::forward_tests
