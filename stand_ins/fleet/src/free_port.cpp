#include <fleet/free_port.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <stdexcept>

namespace ej::fleet {

namespace {

// Below the system's ephemeral ports: one of those could be given to another process between the
// check and the use.
constexpr std::uint16_t first_port = 12'000;
constexpr std::uint16_t last_port = 32'000;
constexpr int port_tries = 100;

} // namespace

std::uint16_t free_port(int type)
{
    std::random_device random;
    std::uniform_int_distribution<std::uint16_t> port_distribution(first_port, last_port);
    for (int tries = 0; tries < port_tries; ++tries) {
        const auto port = port_distribution(random);
        sockaddr_in bind_address{};
        bind_address.sin_family = AF_INET;
        bind_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind_address.sin_port = htons(port);
        const int socket = ::socket(AF_INET, type, 0);
        if (socket < 0) {
            break;
        }
        const bool bound =
            ::bind(socket, reinterpret_cast<sockaddr*>(&bind_address), sizeof bind_address) == 0;
        ::close(socket);
        if (bound) {
            return port;
        }
    }
    throw std::runtime_error("found no free port");
}

} // namespace ej::fleet
