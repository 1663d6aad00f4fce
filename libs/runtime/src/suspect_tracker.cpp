#include "suspect_tracker.h"

#include <suspects/isolate_then_refuse_policy.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <vector>

namespace ej::runtime {

namespace {

// A request is refused after two deaths at which it was the only request without output, or the
// only one at all, or four deaths at which there were others, so a request that crashes engines
// before its output crashes two of them.
constexpr suspects::suspicion_weights weights{.refuse = 4};

void erase_one(std::multiset<suspects::request_digest>& from, suspects::request_digest request)
{
    if (const auto found = from.find(request); found != from.end()) {
        from.erase(found);
    }
}

std::vector<suspects::request_digest>
distinct(const std::multiset<suspects::request_digest>& requests)
{
    std::vector<suspects::request_digest> found;
    std::ranges::unique_copy(requests, std::back_inserter(found));
    return found;
}

} // namespace

suspect_tracker::suspect_tracker()
    : table_(std::make_unique<const suspects::isolate_then_refuse_policy>(weights))
{
}

void suspect_tracker::begin(const core::endpoint_id& engine, suspects::request_digest request,
                            bool had_output)
{
    requests_.with(engine, [&](auto& engines) {
        auto& running = engines[engine];
        (had_output ? running.after_output : running.without_output).insert(request);
    });
}

void suspect_tracker::record_output(const core::endpoint_id& engine,
                                    suspects::request_digest request)
{
    requests_.with(engine, [&](auto& engines) {
        auto& running = engines[engine];
        const auto found = running.without_output.find(request);
        if (found != running.without_output.end()) {
            running.without_output.erase(found);
            running.after_output.insert(request);
        }
    });
}

void suspect_tracker::end(const core::endpoint_id& engine, suspects::request_digest request)
{
    requests_.with(engine, [&](auto& engines) {
        const auto found = engines.find(engine);
        if (found == engines.end()) {
            return;
        }
        auto& running = found->second;
        erase_one(running.after_output.contains(request) ? running.after_output
                                                         : running.without_output,
                  request);
        if (running.without_output.empty() && running.after_output.empty()) {
            engines.erase(found);
        }
    });
}

suspects::death_record suspect_tracker::record_death(const core::endpoint& engine,
                                                     suspects::request_digest request,
                                                     core::instant now)
{
    // A request after output leaves those without to report themselves: each is sent on only once
    // its own report has reached the other daemons.
    suspects::death_record seen{{engine.name, engine.incarnation}, {}, {}};
    requests_.with(engine.name, [&](auto& engines) {
        const auto found = engines.find(engine.name);
        if (found == engines.end()) {
            return;
        }
        if (found->second.after_output.contains(request)) {
            seen.flowing = distinct(found->second.after_output);
        }
        else {
            seen.running = distinct(found->second.without_output);
        }
    });
    if (seen.flowing.empty() && !std::ranges::binary_search(seen.running, request)) {
        seen.running.insert(std::ranges::lower_bound(seen.running, request), request);
    }
    table_.expire(now);
    return table_.record_death(seen, now);
}

bool suspect_tracker::record_remote_death(const suspects::death_record& seen, core::instant now)
{
    table_.expire(now);
    return !table_.record_death(seen, now).empty();
}

void suspect_tracker::clear(suspects::request_digest request)
{
    table_.clear(request);
}

suspects::verdict suspect_tracker::evaluate(suspects::request_digest request, core::instant now)
{
    return table_.evaluate(request, now);
}

bool suspect_tracker::begin_isolated(suspects::request_digest request)
{
    return table_.begin_isolated(request);
}

void suspect_tracker::end_isolated(suspects::request_digest request)
{
    table_.end_isolated(request);
}

} // namespace ej::runtime
