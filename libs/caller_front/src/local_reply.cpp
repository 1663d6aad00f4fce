#include "local_reply.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <ratio>

namespace ej::front {

namespace {

// Seconds after which a refused caller may retry: endpoints that are full or restarting usually
// have capacity by then, and the caller still has time for the request itself.
constexpr std::string_view retry_after_seconds = "0.2";

constexpr int tenths_per_second = 10;

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
                             const header_names& names)
{
    auto made = local_reply(status_unavailable, reason, request_id, names);
    made.headers.push_back({"Retry-After", std::string(retry_after_seconds)});
    return made;
}

http::response local_refusal_for(core::duration pause, std::string_view reason,
                                 const std::string& request_id, const header_names& names)
{
    using tenths = std::chrono::duration<std::int64_t, std::deci>;
    const auto rounded = std::chrono::ceil<tenths>(pause).count();
    auto made = local_reply(status_unavailable, reason, request_id, names);
    made.headers.push_back({"Retry-After", absl::StrCat(rounded / tenths_per_second, ".",
                                                        rounded % tenths_per_second)});
    return made;
}

} // namespace ej::front
