#include <forwarding/first_output_delay.h>

#include <forwarding/requests_at.h>

#include <algorithm>
#include <chrono>

namespace ej::forwarding {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Delay that each request running at an engine adds to the first output of the next one.
constexpr milliseconds per_running{40};
// Time to read one prompt token at an average engine (platform's data sheet: 5 tokens per ms).
constexpr milliseconds per_prompt_token{0.2};
// Bounds the delay of a prompt whose declared size cannot be true.
constexpr milliseconds longest{3'600'000};

} // namespace

core::duration first_output_delay(const candidate& one, const call_size& size, core::instant now)
{
    const double unread = double(one.stats.tokens_unread) + double(one.stats.others_tokens_unread) +
                          double(size.prompt_tokens);
    const auto busy = per_prompt_token * unread + per_running * requests_at(one.stats, now);
    return std::chrono::duration_cast<core::duration>(std::min(one.stats.slowness * busy, longest));
}

} // namespace ej::forwarding
