#include <forwarding/endpoint_stats_table.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <unordered_set>

namespace ej::forwarding {

namespace {

using std::chrono::milliseconds;

/// How long an endpoint is ejected after consecutive failures: `first` once there are more than
/// `tolerated`, doubled with each further failure, up to `longest`.
struct ejection_backoff {
    std::uint32_t tolerated;
    milliseconds first;
    milliseconds longest;
};

// Indexed by attempt_end. A crashed endpoint usually returns under another name after one to
// several seconds, and its old entry disappears soon after. A single error response says
// little about an endpoint, since applications fail some requests for reasons of their own.
constexpr std::array<ejection_backoff, attempt_end_count> ejection_backoffs{{
    {0, milliseconds(1'000), milliseconds(4'000)}, // not_sent
    {0, milliseconds(100), milliseconds(400)},     // not_executed
    {0, milliseconds(4'000), milliseconds(4'000)}, // misdirected
    {2, milliseconds(500), milliseconds(2'000)},   // failed
    {2, milliseconds(500), milliseconds(2'000)},   // spoiled
    {0, milliseconds(600), milliseconds(2'400)},   // broken
    {0, milliseconds(1'000), milliseconds(4'000)}, // silent
}};

constexpr std::uint32_t max_doublings = 6;
// Weights of the newest event in the moving average. Prompts of other requests delay events, so the
// fastest events show the engine's own speed and weigh more.
constexpr double weight_of_faster = 0.2;
constexpr double weight_of_slower = 0.01;
constexpr double slowest = 8; // Limits for a single sample, against outliers.
constexpr double fastest = 0.2;

load_share share_of(const core::endpoint_id& name, const endpoint_stats& known)
{
    return {name, known.in_flight, known.tokens_unread, known.tokens_held};
}

} // namespace

void endpoint_stats_table::begin(const core::endpoint_id& name, std::uint64_t prompt_tokens)
{
    entries_.with(name, [&](auto& entries) {
        endpoint_stats& known = entries[name];
        ++known.in_flight;
        known.tokens_unread += prompt_tokens;
    });
}

void endpoint_stats_table::first_output(const core::endpoint_id& name, std::uint64_t prompt_tokens)
{
    entries_.with(name, [&](auto& entries) {
        endpoint_stats& known = entries[name];
        known.tokens_unread -= std::min(known.tokens_unread, prompt_tokens);
    });
}

void endpoint_stats_table::end(const core::endpoint_id& name, std::uint64_t prompt_tokens)
{
    entries_.with(name, [&](auto& entries) {
        endpoint_stats& known = entries[name];
        known.in_flight -= std::min(known.in_flight, 1U);
        known.in_flight_before = std::min(known.in_flight_before, known.in_flight);
        known.tokens_unread -= std::min(known.tokens_unread, prompt_tokens);
    });
}

void endpoint_stats_table::hold(const core::endpoint_id& name, std::uint64_t tokens)
{
    entries_.with(name, [&](auto& entries) { entries[name].tokens_held += tokens; });
}

void endpoint_stats_table::release(const core::endpoint_id& name, std::uint64_t tokens)
{
    entries_.with(name, [&](auto& entries) {
        endpoint_stats& known = entries[name];
        known.tokens_held -= std::min(known.tokens_held, tokens);
    });
}

void endpoint_stats_table::succeeded(const core::endpoint_id& name)
{
    entries_.with(name, [&](auto& entries) {
        endpoint_stats& known = entries[name];
        known.failures = 0;
        known.avoid_until = {};
    });
}

void endpoint_stats_table::failed(const core::endpoint_id& name, attempt_end end, core::instant now)
{
    const ejection_backoff& by = ejection_backoffs.at(static_cast<std::size_t>(end));
    entries_.with(name, [&](auto& entries) {
        endpoint_stats& known = entries[name];
        ++known.failures;
        if (known.failures <= by.tolerated) {
            return;
        }
        const auto doublings = std::min(known.failures - by.tolerated - 1, max_doublings);
        const auto pause = std::min(by.first * (1U << doublings), by.longest);
        known.avoid_until = std::max(known.avoid_until, now + pause);
    });
}

void endpoint_stats_table::back_off(const core::endpoint& endpoint, core::instant until)
{
    entries_.with(endpoint.name, [&](auto& entries) {
        endpoint_stats& known = entries[endpoint.name];
        const auto accepted = known.in_flight - std::min(known.in_flight, 1U);
        known.backoff = known.backoff.extended_by({endpoint.incarnation, until, accepted});
        known.in_flight_before = accepted;
    });
}

bool endpoint_stats_table::in_backoff(const core::endpoint& endpoint, core::instant now)
{
    return entries_.with(endpoint.name, [&](auto& entries) {
        const auto found = entries.find(endpoint.name);
        return found != entries.end() && found->second.in_backoff(now) &&
               found->second.backoff.incarnation == endpoint.incarnation;
    });
}

void endpoint_stats_table::report(const core::endpoint_id& name, const load_report& load,
                                  core::instant now)
{
    entries_.with(name, [&](auto& entries) {
        endpoint_stats& known = entries[name];
        known.reported = load.running + load.waiting;
        known.in_flight_at_report = known.in_flight;
        known.reported_at = now;
    });
}

void endpoint_stats_table::record_slowness(const core::address& where, double ratio)
{
    const auto key = core::to_string(where);
    const double sample = std::clamp(ratio, fastest, slowest);
    speeds_.with(key, [&](auto& entries) {
        const auto [entry, added] = entries.try_emplace(key, address_speed{sample, std::nullopt});
        double& slowness = entry->second.slowness;
        if (!added) {
            const double change = sample - slowness;
            slowness += (change < 0 ? weight_of_faster : weight_of_slower) * change;
        }
    });
}

void endpoint_stats_table::review(const available_endpoints& available, core::instant now)
{
    std::unordered_set<core::endpoint_id> names;
    std::unordered_set<std::string> addresses;
    available.for_each([&](const core::endpoint& one) {
        names.insert(one.name);
        addresses.insert(core::to_string(one.where));
    });
    entries_.for_each_shard([&](auto& entries) {
        std::erase_if(entries, [&](const auto& one) {
            const endpoint_stats& known = one.second;
            return known.in_flight == 0 && known.tokens_held == 0 && known.avoid_until <= now &&
                   !known.in_backoff(now) && !names.contains(one.first);
        });
    });
    speeds_.for_each_shard([&](auto& entries) {
        for (auto& [where, speed] : entries) {
            speed.unused_since = addresses.contains(where)
                                     ? std::nullopt
                                     : std::optional(speed.unused_since.value_or(now));
        }
        std::erase_if(entries, [&](const auto& one) {
            return one.second.unused_since && now - *one.second.unused_since > speed_retention;
        });
    });
}

load_share endpoint_stats_table::own_share(const core::endpoint_id& name)
{
    return entries_.with(name, [&](auto& entries) {
        const auto found = entries.find(name);
        return found == entries.end() ? load_share{name} : share_of(name, found->second);
    });
}

std::vector<load_share> endpoint_stats_table::own_shares()
{
    std::vector<load_share> shares;
    entries_.for_each_shard([&](const auto& entries) {
        for (const auto& [name, known] : entries) {
            if (known.in_flight > 0 || known.tokens_held > 0) {
                shares.push_back(share_of(name, known));
            }
        }
    });
    return shares;
}

endpoint_stats endpoint_stats_table::of(const core::endpoint& endpoint)
{
    const auto& name = endpoint.name;
    auto known = entries_.with(name, [&](auto& entries) {
        const auto found = entries.find(name);
        return found == entries.end() ? endpoint_stats{} : found->second;
    });
    if (known.backoff.incarnation != endpoint.incarnation) {
        known.backoff = {};
    }
    const auto key = core::to_string(endpoint.where);
    known.slowness = speeds_.with(key, [&](auto& entries) {
        const auto found = entries.find(key);
        return found == entries.end() ? 1.0 : found->second.slowness;
    });
    const auto others = others_.at(name);
    known.others_in_flight = others.in_flight;
    known.others_tokens_unread = others.tokens_unread;
    known.others_tokens_held = others.tokens_held;
    return known;
}

} // namespace ej::forwarding
