#include "daemon_pair.h"

#include <fleet/free_port.h>

#include <sys/socket.h>

#include <algorithm>
#include <string>

namespace ej::forward_tests {

daemon_pair::daemon_pair()
{
    first.settings.peer_listen.port = fleet::free_port(SOCK_DGRAM);
    second.settings.peer_listen.port = fleet::free_port(SOCK_DGRAM);
    second.settings.vm = core::vm_id("vm-2");
    second.settings.domain = core::failure_domain_id("z2");
    second.settings.store = first.store.address();
}

void daemon_pair::start()
{
    first.configure(1);
    std::ranges::for_each(all, &daemon_fixture::start);
}

void daemon_pair::restart()
{
    std::ranges::for_each(all, [](daemon_fixture* one) { one->daemon.reset(); });
    std::ranges::for_each(all, &daemon_fixture::start);
}

bool daemon_pair::wait_until_connected(int endpoints) const
{
    return std::ranges::all_of(all, [&](const daemon_fixture* one) {
        return one->wait_for_endpoints(endpoints) && daemon_fixture::wait_until([&] {
                   return one->metrics().find("endivejunction_daemons 2\n") != std::string::npos;
               });
    });
}

} // namespace ej::forward_tests
