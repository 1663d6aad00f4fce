#include "short_requests.h"

#include <harness/http_client.h>

namespace ej::process_tests {

namespace {

using json = nlohmann::json;

harness::http_call request_of(const std::string& work_class, const std::string& text)
{
    harness::http_call call{"POST", "/v1/requests", {}, {}};
    call.headers["Authorization"] = "Bearer wharf-key";
    call.headers["Idempotency-Key"] = short_request_key;
    call.body = json{{"class", work_class}, {"path", "/do"}, {"body", {{"text", text}}}}.dump();
    return call;
}

} // namespace

std::future<json> submit(const deployment& system, const std::string& daemon,
                         const std::string& work_class, const std::string& text)
{
    return std::async(std::launch::async, [where = system.daemon(daemon), work_class, text] {
        const auto answer = harness::send(where, request_of(work_class, text));
        return answer.ok() ? json::parse(answer->body) : json{{"outcome", "broken"}};
    });
}

} // namespace ej::process_tests
