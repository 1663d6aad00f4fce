#include "caller.h"

#include <atomic>
#include <cstdio>
#include <unistd.h>

namespace review {

std::string new_id()
{
    static std::atomic<unsigned> last{0};
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()), ++last);
    return text;
}

std::string request_text(const call& made)
{
    std::string text =
        made.method + " " + made.target +
        " HTTP/1.1\r\nHost: review.example\r\nEndivejunction-Attempt-Id: " + made.id +
        "\r\nEndivejunction-Deadline-Ms: " + std::to_string(made.deadline_ms) +
        "\r\nAuthorization: Token " + made.key + "\r\n" + made.more;
    if (made.method != "GET") {
        text += "Content-Length: " + std::to_string(made.body.size()) + "\r\n";
    }
    return text + "\r\n" + made.body;
}

std::optional<message> send_call(int port, const call& made)
{
    const int socket = connect_to(port);
    if (socket < 0) {
        return std::nullopt;
    }
    connection peer(socket);
    if (!peer.write(request_text(made))) {
        return std::nullopt;
    }
    return peer.read_answer(steady::now() + milliseconds(made.deadline_ms + 2'000));
}

} // namespace review
