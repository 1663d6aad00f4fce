#include <platform/call_kind.h>

namespace ej::platform {

namespace {

constexpr std::array<call_kind, call_kind_count> kinds{call_kind::read,  call_kind::watch,
                                                       call_kind::write, call_kind::list,
                                                       call_kind::lease, call_kind::vms};

constexpr std::array<std::string_view, call_kind_count> names{"read", "watch", "write",
                                                              "list", "lease", "vms"};

} // namespace

const std::array<call_kind, call_kind_count>& all_call_kinds()
{
    return kinds;
}

std::string_view to_string(call_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace ej::platform
