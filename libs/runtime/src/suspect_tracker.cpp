#include "suspect_tracker.h"

#include <suspects/isolate_then_refuse_policy.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <vector>

namespace ej::runtime {

namespace {

// Death records list only requests without output. A request is refused after two deaths at which
// it was the only such request, or four deaths at which there were others, so a request that
// crashes engines crashes two of them.
constexpr std::uint32_t weight_to_refuse = 4;

} // namespace

suspect_tracker::suspect_tracker()
    : table_(std::make_unique<const suspects::isolate_then_refuse_policy>(weight_to_refuse))
{
}

void suspect_tracker::begin(const core::endpoint_id& engine, suspects::request_digest request)
{
    without_output_.with(engine, [&](auto& engines) { engines[engine].insert(request); });
}

void suspect_tracker::end(const core::endpoint_id& engine, suspects::request_digest request)
{
    without_output_.with(engine, [&](auto& engines) {
        const auto found = engines.find(engine);
        if (found == engines.end()) {
            return;
        }
        if (const auto one = found->second.find(request); one != found->second.end()) {
            found->second.erase(one);
        }
        if (found->second.empty()) {
            engines.erase(found);
        }
    });
}

suspects::death_record suspect_tracker::record_death(const core::endpoint& engine,
                                                     suspects::request_digest request,
                                                     core::instant now)
{
    suspects::death_record seen{{engine.name, engine.incarnation}, {request}};
    without_output_.with(engine.name, [&](auto& engines) {
        if (const auto found = engines.find(engine.name); found != engines.end()) {
            seen.running.insert(seen.running.end(), found->second.begin(), found->second.end());
        }
    });
    std::ranges::sort(seen.running);
    const auto repeated = std::ranges::unique(seen.running);
    seen.running.erase(repeated.begin(), repeated.end());
    table_.expire(now);
    return table_.record_death(seen, now);
}

bool suspect_tracker::record_remote_death(const suspects::death_record& seen, core::instant now)
{
    table_.expire(now);
    return !table_.record_death(seen, now).running.empty();
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
