#include <overload/memory_need.h>

#include <algorithm>
#include <cmath>

namespace ej::overload {

std::uint64_t memory_need(const forwarding::call_size& declared, const service_usage& usage,
                          const forwarding::engine_profile& engine)
{
    const auto most = engine.memory_tokens;
    if (declared.prompt_tokens == 0) {
        return most / std::max(engine.slots, 1U);
    }
    // Each term is bounded before the sum, which thus cannot overflow.
    const auto prompt = std::min(declared.prompt_tokens, most);
    const auto output = std::min(declared.output_tokens, most);
    const auto expected =
        static_cast<std::uint64_t>(std::ceil(usage.output_share * double(output)));
    return std::min(prompt + expected, most);
}

} // namespace ej::overload
