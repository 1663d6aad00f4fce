#include <fleet/backoff_endpoint.h>

#include <utility>

namespace ej::fleet {

backoff_endpoint::backoff_endpoint(endpoint_stand_in::script serve)
    : serve_(std::move(serve)),
      stand_in_([this](const std::string& request, int number) { return answer(request, number); })
{
}

void backoff_endpoint::refuse(std::string lines, int count)
{
    const std::scoped_lock lock(mutex_);
    lines_ = std::move(lines);
    to_refuse_ = count;
}

int backoff_endpoint::refused() const
{
    const std::scoped_lock lock(mutex_);
    return refused_;
}

std::vector<step> backoff_endpoint::answer(const std::string& request, int number)
{
    const std::scoped_lock lock(mutex_);
    if (to_refuse_ == 0) {
        return serve_(request, number);
    }
    --to_refuse_;
    ++refused_;
    return {{step_kind::send,
             signed_answer(request, 503, "full", "Endivejunction-Not-Executed: 1\r\n" + lines_)}};
}

std::string retry_after_line(const std::string& seconds)
{
    return "Retry-After: " + seconds + "\r\n";
}

} // namespace ej::fleet
