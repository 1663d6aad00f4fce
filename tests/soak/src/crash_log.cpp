#include "crash_log.h"

#include <algorithm>
#include <chrono>

namespace ej::soak {

namespace {

// The platform's bounds: how soon daemons that reach each other act alike, the crashes that show a
// crashing part, and the requests with it that may still reach engines later.
constexpr std::chrono::milliseconds contact_time{3'000};
constexpr std::size_t crashes_until_known = 5;
constexpr int arrivals_after = 3;
// Fewer sound requests show nothing.
constexpr std::ptrdiff_t fewest_sound_calls = 20;

} // namespace

bool crash_log::in_touch(std::size_t daemon, core::instant at) const
{
    return std::ranges::none_of(outages_, [&](const daemon_outage& outage) {
        return outage.daemon == daemon && outage.at <= at && at <= outage.until + contact_time;
    });
}

std::vector<std::string> crash_log::faults(const std::vector<call_record>& calls,
                                           const std::map<std::string, int>& runs) const
{
    if (crashes_.size() < crashes_until_known) {
        return {};
    }
    const auto known_at = crashes_[crashes_until_known - 1] + contact_time;
    int arrivals = 0;
    std::ptrdiff_t sound = 0;
    std::ptrdiff_t served = 0;
    for (const call_record& call : calls) {
        if (call.kind != call_kind::generate || call.began < known_at ||
            !in_touch(call.daemon, call.began)) {
            continue;
        }
        if (call.crashing) {
            const auto ran = runs.find(call.id);
            arrivals += ran == runs.end() ? 0 : ran->second;
        }
        else if (call.began >= known_at + contact_time) {
            ++sound;
            served += call.status == 200 && call.complete ? 1 : 0;
        }
    }
    std::vector<std::string> found;
    if (arrivals > arrivals_after) {
        found.push_back("requests with a part that crashed five engines before reached engines " +
                        std::to_string(arrivals) + " times");
    }
    if (sound >= fewest_sound_calls && served * 2 < sound) {
        found.push_back("of " + std::to_string(sound) + " sound requests beside a crashing part " +
                        std::to_string(served) + " are served");
    }
    return found;
}

} // namespace ej::soak
