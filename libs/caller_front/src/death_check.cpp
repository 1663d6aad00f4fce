#include "death_check.h"
#include "clock.h"

#include "call_log.h"
#include "liveness_check.h"

#include <chrono>
#include <memory>
#include <utility>

namespace ej::front {

namespace {

// Several round trips between failure domains.
constexpr std::chrono::milliseconds check_timeout{150};

} // namespace

void check_death(front_context& context, upstream_pool& pool, const core::endpoint& endpoint,
                 suspect_request suspect, const std::string& request)
{
    // A broken connection alone does not mean that the endpoint died: it must also be unreachable.
    const auto check = std::make_shared<liveness_check>(
        pool, endpoint.where,
        [&context, endpoint, suspect = std::move(suspect), request](bool alive) {
            if (alive) {
                return;
            }
            log_death(request, endpoint);
            context.metrics.count("deaths_seen_total", {});
            const suspects::death_id death{endpoint.name, endpoint.incarnation};
            suspects::death_record observed{death, {}, {}};
            auto& requests = suspect.had_output ? observed.flowing : observed.running;
            requests.push_back(suspect.digest);
            const auto seen = context.suspects.record_death(observed, now());
            if (!seen.empty()) {
                context.death_seen(seen);
                context.suspect_seen(suspect.digest);
            }
            if (!suspect.had_output) {
                context.parts.record_death({death, endpoint.domain, suspect.parts});
            }
        });
    check->start(check_timeout);
}

} // namespace ej::front
