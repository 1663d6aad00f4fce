#include "peer_loop.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace ej::peer {

namespace {

constexpr std::size_t min_secret_bytes = 16;
constexpr std::size_t max_waiting_frames = 1'000;

// The CBOR around a payload: keys, numbers and lengths.
constexpr std::size_t frame_overhead_bytes = 64;

using clock = std::chrono::steady_clock;

void require(bool valid, const char* fault)
{
    if (!valid) {
        throw std::runtime_error(fault);
    }
}

} // namespace

peer_loop::peer_loop(peer_settings settings, peer_handlers handlers)
    : settings_(std::move(settings)), handlers_(std::move(handlers)),
      context_(std::make_shared<boost::asio::io_context>()), heartbeat_(*context_),
      calls_(*context_)
{
    require(!settings_.name.empty(), "a daemon's name is needed");
    require(!settings_.domain.empty(), "a daemon's failure domain is needed");
    require(settings_.secret.size() >= min_secret_bytes, "the fleet's secret is too short");
    prepare(acceptor_);
    prepare(initiator_);
    listen();
    schedule_check();
    thread_ = std::thread([this] { context_->run(); });
}

peer_loop::~peer_loop()
{
    stop();
}

void peer_loop::stop()
{
    context_->stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void peer_loop::keep(std::set<peer_address> peers)
{
    boost::asio::post(*context_, [this, peers = std::move(peers)]() mutable {
        peers.erase(self_.address);
        kept_ = std::move(peers);
        for (const auto& address : kept_) {
            link_to(address);
        }
    });
}

void peer_loop::send(const peer_address& to, std::string payload)
{
    boost::asio::post(*context_, [this, to, payload = std::move(payload)]() mutable {
        if (payload.size() + frame_overhead_bytes <= settings_.max_frame_bytes) {
            deliver(link_to(to), {frame_kind::message, 0, std::move(payload), {}});
        }
    });
}

void peer_loop::request(const peer_address& to, std::string payload,
                        std::chrono::milliseconds timeout, std::function<void(call_result)> done)
{
    boost::asio::post(*context_, [this, to, payload = std::move(payload), timeout,
                                  done = std::move(done)]() mutable {
        if (payload.size() + frame_overhead_bytes > settings_.max_frame_bytes) {
            done({call_status::unreachable, {}});
            return;
        }
        const auto link = link_to(to);
        const auto number = calls_.add(link, timeout, std::move(done));
        if (link->ended) {
            calls_.fail_all(link);
            return;
        }
        deliver(link, {frame_kind::request, number, std::move(payload), {}});
    });
}

std::uint64_t peer_loop::dropped(drop_reason reason) const
{
    return dropped_.at(static_cast<std::size_t>(reason));
}

void peer_loop::deliver(const session::ptr& link, frame value)
{
    link->last_used = clock::now();
    if (link->authenticated) {
        write(link, value);
    }
    else if (link->waiting.size() < max_waiting_frames) {
        link->waiting.push_back(std::move(value));
    }
}

void peer_loop::write(const session::ptr& link, const frame& value)
{
    if (link->ended) {
        return;
    }
    const auto bytes = encode(value);
    if (buffered_bytes(link->socket) + bytes.size() > settings_.max_buffered_bytes) {
        drop(link, drop_reason::slow);
        return;
    }
    bytes_sent_ += bytes.size();
    if (link->socket->send(bytes, websocketpp::frame::opcode::binary)) {
        drop(link, drop_reason::closed);
    }
}

void peer_loop::drop(const session::ptr& link, drop_reason reason)
{
    if (link->ended) {
        return;
    }
    // Ended and counted first: the other end may notice at once.
    end(link, reason);
    if (reason == drop_reason::idle) {
        websocketpp::lib::error_code failed;
        link->socket->close(websocketpp::close::status::normal, {}, failed);
        return;
    }
    // Not a closing handshake: a bad or silent peer need not take part in it.
    link->socket->terminate(websocketpp::lib::error_code{});
}

void peer_loop::end(const session::ptr& link, drop_reason reason)
{
    if (std::exchange(link->ended, true)) {
        return;
    }
    ++dropped_.at(static_cast<std::size_t>(reason));
    sessions_.erase(link);
    const auto& address = link->initiator ? link->dialled : link->other.address;
    const auto found = by_address_.find(address);
    if (found != by_address_.end() && found->second == link) {
        by_address_.erase(found);
    }
    calls_.fail_all(link);
    if (link->authenticated && !linked(link->other.name) && handlers_.on_disconnected) {
        handlers_.on_disconnected(link->other, reason);
    }
    if (link->initiator && reason != drop_reason::idle && handlers_.on_unreachable) {
        handlers_.on_unreachable(link->dialled, reason);
    }
}

bool peer_loop::linked(const std::string& name) const
{
    return std::any_of(sessions_.begin(), sessions_.end(), [&](const session::ptr& link) {
        return link->authenticated && link->other.name == name;
    });
}

void peer_loop::schedule_check()
{
    heartbeat_.expires_after(settings_.heartbeat);
    heartbeat_.async_wait([this](const boost::system::error_code& cancelled) {
        if (cancelled) {
            return;
        }
        check_all();
        schedule_check();
    });
}

void peer_loop::check_all()
{
    const auto now = clock::now();
    // A process that was paused has heard nobody meanwhile; that says nothing about its peers.
    const bool paused = now - heartbeat_.expiry() > settings_.heartbeat;
    const auto links = sessions_;
    for (const auto& link : links) {
        link->last_heard = paused ? now : link->last_heard;
        check(link, now);
    }
    for (const auto& address : kept_) {
        link_to(address);
    }
}

void peer_loop::check(const session::ptr& link, session::instant now)
{
    if (!link->authenticated) {
        if (now - link->opened > settings_.handshake) {
            drop(link, drop_reason::unauthenticated);
        }
        return;
    }
    if (now - link->last_heard > settings_.silence) {
        drop(link, drop_reason::silent);
        return;
    }
    if (!wanted(*link) && link->calls.empty() && now - link->last_used > settings_.idle_close) {
        drop(link, drop_reason::idle);
        return;
    }
    // The other end hears the pings; it needs none of its own.
    if (link->initiator) {
        websocketpp::lib::error_code failed;
        link->socket->ping("", failed);
    }
}

bool peer_loop::wanted(const session& link) const
{
    // The end that accepted a connection leaves it to the other to close it when idle.
    return !link.initiator || kept_.count(link.dialled) > 0;
}

} // namespace ej::peer
