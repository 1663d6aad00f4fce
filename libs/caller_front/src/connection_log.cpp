#include "connection_log.h"

#include <logging/log.h>

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

} // namespace ej::front
