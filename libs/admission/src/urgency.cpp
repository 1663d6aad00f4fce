#include <admission/urgency.h>

#include <chrono>

namespace ej::admission {

namespace {

constexpr std::chrono::seconds urgent_finish{5};

} // namespace

bool is_urgent(const core::work_target& target)
{
    return target.finish <= urgent_finish;
}

} // namespace ej::admission
