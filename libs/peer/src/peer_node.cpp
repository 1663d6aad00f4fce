#include <peer/peer_node.h>

#include "peer_loop.h"

#include <utility>

namespace ej::peer {

peer_node::peer_node(peer_settings settings, peer_handlers handlers)
    : loop_(std::make_unique<peer_loop>(std::move(settings), std::move(handlers)))
{
}

peer_node::~peer_node() = default;

void peer_node::stop()
{
    loop_->stop();
}

peer_address peer_node::address() const
{
    return loop_->address();
}

void peer_node::keep_connected(std::set<peer_address> peers)
{
    loop_->keep_connected(std::move(peers));
}

void peer_node::send(const peer_address& to, std::string payload)
{
    loop_->send(to, std::move(payload));
}

void peer_node::request(const peer_address& to, std::string payload,
                        std::chrono::milliseconds timeout, std::function<void(call_result)> done)
{
    loop_->request(to, std::move(payload), timeout, std::move(done));
}

std::uint64_t peer_node::dropped(drop_reason reason) const
{
    return loop_->dropped(reason);
}

std::uint64_t peer_node::bytes_sent() const
{
    return loop_->bytes_sent();
}

} // namespace ej::peer
