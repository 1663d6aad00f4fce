#include <forwarding/endpoint_choice.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <utility>

namespace ej::forwarding {

namespace {

// Reports older than this say nothing: a plain call has ended by then, a stream has moved on.
constexpr std::chrono::milliseconds report_validity{3'000};

// What a request that runs at an engine adds to the first output of the next, in ms.
constexpr double ms_per_running = 40;
// Time to read a prompt token at the usual engine, in ms (platform's sheet: 5 tokens a ms).
constexpr double ms_per_prompt_token = 0.2;
// Handicap of another failure domain in ms: its bytes are paid for, and it is farther away.
constexpr double ms_remote = 10;

/// Requests at the endpoint of all daemons, as far as this one can know.
double requests_at(const endpoint_standing& known, core::instant now)
{
    const double from_messages = double(known.in_flight) + double(known.others_in_flight);
    if (known.reported_at == core::instant{} || now - known.reported_at > report_validity) {
        return from_messages;
    }
    const double since = double(known.in_flight) - double(known.in_flight_at_report);
    return std::max(from_messages, double(known.reported) + since);
}

/// The candidate with the lowest score; endpoints to be avoided come after all others.
template <class Score>
std::optional<std::size_t> lowest(std::span<const candidate> from, std::uint64_t turn,
                                  core::instant now, Score score)
{
    std::optional<std::size_t> best;
    std::pair<bool, double> best_rank;
    for (std::size_t step = 0; step < from.size(); ++step) {
        // Starts at a different place each time, so that equal candidates take turns.
        const std::size_t index = (turn + step) % from.size();
        const candidate& one = from[index];
        const std::pair<bool, double> rank{one.standing.avoid_until > now, score(one)};
        if (!best || rank < best_rank) {
            best = index;
            best_rank = rank;
        }
    }
    return best;
}

/// Takes turns.
class round_robin final : public endpoint_choice {
public:
    [[nodiscard]] std::optional<std::size_t> choose(std::span<const candidate> from,
                                                    const call_size&, std::uint64_t turn,
                                                    core::instant now) const override
    {
        return lowest(from, turn, now, [](const candidate&) { return 0.0; });
    }
};

/// Takes the endpoint with the fewest requests.
class fewest_requests final : public endpoint_choice {
public:
    [[nodiscard]] std::optional<std::size_t> choose(std::span<const candidate> from,
                                                    const call_size&, std::uint64_t turn,
                                                    core::instant now) const override
    {
        return lowest(from, turn, now,
                      [&](const candidate& one) { return requests_at(one.standing, now); });
    }
};

/// Takes the endpoint whose first output is predicted to come first.
class first_output final : public endpoint_choice {
public:
    [[nodiscard]] std::optional<std::size_t> choose(std::span<const candidate> from,
                                                    const call_size& size, std::uint64_t turn,
                                                    core::instant now) const override
    {
        return lowest(from, turn, now, [&](const candidate& one) {
            const auto unread = double(one.standing.tokens_unread +
                                       one.standing.others_tokens_unread + size.prompt_tokens);
            const double busy =
                ms_per_prompt_token * unread + ms_per_running * requests_at(one.standing, now);
            return one.standing.slowness * busy + (one.local ? 0 : ms_remote);
        });
    }
};

using choice_factory = std::unique_ptr<const endpoint_choice> (*)();

template <class Choice>
std::unique_ptr<const endpoint_choice> make()
{
    return std::make_unique<const Choice>();
}

constexpr std::array<std::pair<std::string_view, choice_factory>, 3> choice_factories{
    {{"round_robin", &make<round_robin>},
     {"fewest_requests", &make<fewest_requests>},
     {"first_output", &make<first_output>}}};

} // namespace

std::unique_ptr<const endpoint_choice> make_choice(std::string_view name)
{
    const auto* const found = std::ranges::find(
        choice_factories, name, &std::pair<std::string_view, choice_factory>::first);
    return found == choice_factories.end() ? nullptr : found->second();
}

} // namespace ej::forwarding
