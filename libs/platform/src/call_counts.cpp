#include <platform/call_counts.h>

namespace ej::platform {

namespace {

std::size_t index(call_kind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

void call_counts::begin(call_kind kind)
{
    begun_.at(index(kind)).fetch_add(1, std::memory_order_relaxed);
}

void call_counts::fail(call_kind kind)
{
    failed_.at(index(kind)).fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t call_counts::begun(call_kind kind) const
{
    return begun_.at(index(kind)).load(std::memory_order_relaxed);
}

std::uint64_t call_counts::failed(call_kind kind) const
{
    return failed_.at(index(kind)).load(std::memory_order_relaxed);
}

} // namespace ej::platform
