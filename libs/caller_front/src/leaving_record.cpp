#include "leaving_record.h"

#include <logging/log.h>

namespace ej::front {

void record_leaving(front_context& context, const forwarding::leaving_evidence& seen,
                    const std::string& request)
{
    if (context.endpoints.leave(seen)) {
        report_leaving(context, seen, request);
    }
}

void report_leaving(front_context& context, const forwarding::leaving_evidence& seen,
                    const std::string& request)
{
    const std::string source(to_string(seen.source));
    logging::log(logging::level::info, "endpoint leaves",
                 {{"endpoint", seen.run.name.text()},
                  {"incarnation", seen.run.incarnation.text()},
                  {"source", source},
                  {"request", request}});
    context.metrics.count("endpoints_leaving_total", {{"source", source}});
    if (seen.source == forwarding::leaving_source::answer) {
        context.leaving_seen(seen.run);
    }
}

} // namespace ej::front
