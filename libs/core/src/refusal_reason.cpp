#include <core/refusal_reason.h>

namespace ej::core {

namespace {

constexpr std::array<refusal_reason, refusal_reason_count> reasons{
    refusal_reason::unauthenticated, refusal_reason::malformed,
    refusal_reason::too_large,       refusal_reason::unknown_class,
    refusal_reason::queue_full,      refusal_reason::target_unreachable,
    refusal_reason::waited_too_long, refusal_reason::over_share,
    refusal_reason::no_endpoint,     refusal_reason::suspect,
    refusal_reason::draining,        refusal_reason::platform_unavailable,
    refusal_reason::key_conflict,    refusal_reason::expired};

constexpr std::array<std::string_view, refusal_reason_count> names{
    "unauthenticated", "malformed",  "too_large",
    "unknown_class",   "queue_full", "target_unreachable",
    "waited_too_long", "over_share", "no_endpoint",
    "suspect",         "draining",   "platform_unavailable",
    "key_conflict",    "expired"};

} // namespace

const std::array<refusal_reason, refusal_reason_count>& all_refusal_reasons()
{
    return reasons;
}

std::string_view to_string(refusal_reason reason)
{
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace ej::core
