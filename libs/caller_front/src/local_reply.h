#pragma once

#include <caller_front/header_names.h>

#include <http/response.h>

#include <string>
#include <string_view>

namespace ej::front {

inline constexpr unsigned status_bad_request = 400;
inline constexpr unsigned status_unauthorized = 401;
inline constexpr unsigned status_not_found = 404;
inline constexpr unsigned status_request_timeout = 408;
inline constexpr unsigned status_body_too_large = 413;
inline constexpr unsigned status_header_too_large = 431;
inline constexpr unsigned status_bad_gateway = 502;
inline constexpr unsigned status_unavailable = 503;
inline constexpr unsigned status_gateway_timeout = 504;

/// True if `status` promises that the request has not run, which only the endpoint's own word can.
[[nodiscard]] bool promises_not_run(unsigned status);

/// An answer of the front itself, with the reason as its text.
[[nodiscard]] http::response local_reply(unsigned status, std::string_view reason,
                                         const std::string& request_id, const header_names& names);

/// 503: the request has not run and will not; the caller is told when to come again.
[[nodiscard]] http::response local_refusal(std::string_view reason, const std::string& request_id,
                                           const header_names& names);

} // namespace ej::front
