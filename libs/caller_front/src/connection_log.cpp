#include "connection_log.h"

#include <logging/log.h>

#include <chrono>
#include <string>

namespace ej::front {

void log_connection_end(connection_end end, const connection_summary& ended)
{
    logging::log(outstanding(ended) ? logging::level::info : logging::level::debug,
                 "caller connection ended",
                 {{"request", ended.request},
                  {"end", std::string(to_string(end))},
                  {"phase", std::string(to_string(ended.phase))},
                  {"answered", std::to_string(ended.answered)},
                  {"bytes_unused", std::to_string(ended.bytes_unused)},
                  {"bytes_unread", std::to_string(ended.bytes_unread)}});
}

void log_crossing(connection_end end, core::duration idle, core::duration limit)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    logging::log(logging::level::info, "request crossed a close",
                 {{"end", std::string(to_string(end))},
                  {"idle_ms", std::to_string(duration_cast<milliseconds>(idle).count())},
                  {"limit_ms", std::to_string(duration_cast<milliseconds>(limit).count())}});
}

} // namespace ej::front
