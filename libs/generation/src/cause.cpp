#include <generation/cause.h>

namespace ej::generation {

namespace {

constexpr std::array<std::string_view, cause_count> names{"none",
                                                          "connection_lost",
                                                          "silence",
                                                          "engine_unreachable",
                                                          "engine_forgot",
                                                          "engine_rejected",
                                                          "engine_aborted",
                                                          "wrong_offset",
                                                          "other_text",
                                                          "gap",
                                                          "stale_attempt",
                                                          "repeated_tokens",
                                                          "no_endpoint",
                                                          "no_progress",
                                                          "too_many_losses",
                                                          "caller_gone"};

} // namespace

std::string_view to_string(cause value)
{
    return names.at(static_cast<std::size_t>(value));
}

} // namespace ej::generation
