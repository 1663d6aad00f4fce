#include "unacknowledged_bytes.h"

#include <sys/ioctl.h>

#include <linux/sockios.h>

namespace ej::front {

std::uint64_t unacknowledged_bytes(tcp::socket& socket)
{
    int count = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &count) == 0
               ? static_cast<std::uint64_t>(count)
               : 0;
}

} // namespace ej::front
