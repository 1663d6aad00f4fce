#include <forwarding/endpoint_choice.h>
#include <forwarding/first_output_delay.h>
#include <forwarding/requests_at.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <utility>

namespace ej::forwarding {

namespace {

// Penalty for another failure domain: traffic to it is charged for, and its latency is higher. A
// stream lasts for seconds, during which the domains may be cut off from each other.
constexpr std::chrono::milliseconds remote_penalty{10};
constexpr std::chrono::milliseconds remote_stream_penalty{500};

/// The candidate with the lowest score among those that accept requests; ejected endpoints rank
/// after all others.
template <class Score>
std::optional<std::size_t> lowest(std::span<const candidate> from, std::uint64_t turn,
                                  core::instant now, Score score)
{
    std::optional<std::size_t> best;
    std::pair<bool, double> best_rank;
    for (std::size_t step = 0; step < from.size(); ++step) {
        // Starts at a different candidate each time, so that equal ones are chosen in rotation.
        const std::size_t index = (turn + step) % from.size();
        const candidate& one = from[index];
        if (!one.stats.accepts_requests(now)) {
            continue;
        }
        const std::pair<bool, double> rank{one.stats.avoid_until > now, score(one)};
        if (!best || rank < best_rank) {
            best = index;
            best_rank = rank;
        }
    }
    return best;
}

/// Chooses the endpoints in rotation.
class round_robin final : public endpoint_choice {
public:
    [[nodiscard]] std::optional<std::size_t> choose(std::span<const candidate> from,
                                                    const call_size&, std::uint64_t turn,
                                                    core::instant now) const override
    {
        return lowest(from, turn, now, [](const candidate&) { return 0.0; });
    }
};

/// Chooses the endpoint with the fewest requests.
class fewest_requests final : public endpoint_choice {
public:
    [[nodiscard]] std::optional<std::size_t> choose(std::span<const candidate> from,
                                                    const call_size&, std::uint64_t turn,
                                                    core::instant now) const override
    {
        return lowest(from, turn, now,
                      [&](const candidate& one) { return requests_at(one.stats, now); });
    }
};

/// Chooses the endpoint with the earliest predicted first output.
class first_output final : public endpoint_choice {
public:
    [[nodiscard]] std::optional<std::size_t> choose(std::span<const candidate> from,
                                                    const call_size& size, std::uint64_t turn,
                                                    core::instant now) const override
    {
        return lowest(from, turn, now, [&](const candidate& one) {
            const auto penalty = size.prompt_tokens > 0 ? remote_stream_penalty : remote_penalty;
            const auto delay = first_output_delay(one, size, now);
            return double((delay + (one.local ? core::duration() : penalty)).count());
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
