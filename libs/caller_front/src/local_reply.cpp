#include "local_reply.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <chrono>

namespace ej::front {

namespace {

constexpr std::array<unsigned, 4> promises{408, 421, 429, 503};

} // namespace

bool promises_not_run(unsigned status)
{
    return std::ranges::find(promises, status) != promises.end();
}

http::response local_reply(unsigned status, std::string_view reason, const std::string& request_id,
                           const header_names& names)
{
    http::response made{status, {{"Content-Type", "text/plain"}}, std::string(reason) + '\n'};
    if (!request_id.empty()) {
        made.headers.push_back({names.request_id, request_id});
    }
    return made;
}

http::response local_refusal(std::string_view reason, const std::string& request_id,
                             const header_names& names, core::duration retry_after)
{
    using std::chrono::milliseconds;
    constexpr double ms_per_second = 1'000;
    const auto delay = std::chrono::ceil<milliseconds>(retry_after);
    auto made = local_reply(status_unavailable, reason, request_id, names);
    made.headers.push_back(
        {names.retry_after, absl::StrCat(double(delay.count()) / ms_per_second)});
    return made;
}

} // namespace ej::front
