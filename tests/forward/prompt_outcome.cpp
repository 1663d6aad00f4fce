#include "prompt_outcome.h"

#include "caller.h"
#include "engine_group.h"

namespace ej::forward_tests {

bool prompt_outcome::served() const
{
    return answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("0\r\n\r\n") &&
           joined_chunks(answer) == engine_group::whole_stream();
}

bool prompt_outcome::refused() const
{
    return answer.starts_with("HTTP/1.1 503 ") &&
           answer.find("\r\nRetry-After: ") != std::string::npos;
}

double prompt_outcome::retry_after_s() const
{
    const std::string field = "\r\nRetry-After: ";
    const auto place = answer.find(field);
    return place == std::string::npos ? 0 : std::stod(answer.substr(place + field.size()));
}

} // namespace ej::forward_tests
