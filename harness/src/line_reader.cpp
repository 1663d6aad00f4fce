#include <harness/line_reader.h>

#include "blocking_body.h"

namespace ej::harness {

void read_lines(const core::address& where, const http_call& call,
                const std::function<void(const std::string&)>& on_line)
{
    blocking_body body;
    if (!body.open(where, call).ok()) {
        return;
    }
    std::string unread;
    for (auto part = body.read(); part.ok(); part = body.read()) {
        unread += *part;
        for (auto end = unread.find('\n'); end != std::string::npos; end = unread.find('\n')) {
            on_line(unread.substr(0, end));
            unread.erase(0, end + 1);
        }
    }
}

} // namespace ej::harness
