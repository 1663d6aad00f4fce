#include "descriptor_limit.h"

#include <sys/resource.h>

namespace ej {

std::size_t descriptor_limit()
{
    constexpr std::size_t least = 256; // Assumed if the system does not tell.
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur)
                                                   : least;
}

} // namespace ej
