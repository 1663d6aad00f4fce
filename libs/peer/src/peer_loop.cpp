#include "peer_loop.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace ej::peer {

namespace {

constexpr std::size_t min_secret_bytes = 16;
constexpr std::size_t max_unsent_frames = 1'000;

// Upper bound of the CBOR around a payload: keys, numbers and lengths.
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
      context_(std::make_shared<boost::asio::io_context>()), heartbeat_timer_(*context_),
      calls_(*context_)
{
    require(!settings_.name.empty(), "the daemon's name is missing");
    require(!settings_.domain.empty(), "the daemon's failure domain is missing");
    require(settings_.secret.size() >= min_secret_bytes,
            "the fleet's secret has fewer than 16 bytes");
    configure(acceptor_);
    configure(initiator_);
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

void peer_loop::keep_connected(std::set<peer_address> peers)
{
    boost::asio::post(*context_, [this, peers = std::move(peers)]() mutable {
        peers.erase(self_.address);
        kept_peers_ = std::move(peers);
        for (const auto& address : kept_peers_) {
            session_to(address);
        }
    });
}

void peer_loop::send(const peer_address& to, std::string payload)
{
    boost::asio::post(*context_, [this, to, payload = std::move(payload)]() mutable {
        if (payload.size() + frame_overhead_bytes <= settings_.max_frame_bytes) {
            send_or_queue(session_to(to), {frame_kind::message, 0, std::move(payload), {}});
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
        const auto session = session_to(to);
        const auto number = calls_.add(session, timeout, std::move(done));
        if (session->ended) {
            calls_.fail_all(session);
            return;
        }
        send_or_queue(session, {frame_kind::request, number, std::move(payload), {}});
    });
}

std::uint64_t peer_loop::dropped(drop_reason reason) const
{
    return dropped_.at(static_cast<std::size_t>(reason));
}

void peer_loop::send_or_queue(const peer_session::ptr& session, frame value)
{
    session->last_used = clock::now();
    if (session->authenticated) {
        write(session, value);
    }
    else if (session->unsent.size() < max_unsent_frames) {
        session->unsent.push_back(std::move(value));
    }
}

void peer_loop::write(const peer_session::ptr& session, const frame& value)
{
    if (session->ended) {
        return;
    }
    const auto bytes = encode(value);
    if (buffered_bytes(session->socket) + bytes.size() > settings_.max_buffered_bytes) {
        drop(session, drop_reason::slow);
        return;
    }
    bytes_sent_ += bytes.size();
    if (session->socket->send(bytes, websocketpp::frame::opcode::binary)) {
        drop(session, drop_reason::closed);
    }
}

void peer_loop::drop(const peer_session::ptr& session, drop_reason reason)
{
    if (session->ended) {
        return;
    }
    // The session is ended and counted first, because the other end may notice the close at once.
    end(session, reason);
    if (reason == drop_reason::idle) {
        websocketpp::lib::error_code failed;
        session->socket->close(websocketpp::close::status::normal, {}, failed);
        return;
    }
    // No closing handshake: a faulty or silent peer might not take part in it.
    session->socket->terminate(websocketpp::lib::error_code{});
}

void peer_loop::end(const peer_session::ptr& session, drop_reason reason)
{
    if (std::exchange(session->ended, true)) {
        return;
    }
    ++dropped_.at(static_cast<std::size_t>(reason));
    sessions_.erase(session);
    const auto& address = session->initiator ? session->dialled_address : session->remote.address;
    const auto found = by_address_.find(address);
    if (found != by_address_.end() && found->second == session) {
        by_address_.erase(found);
    }
    calls_.fail_all(session);
    if (session->authenticated && !has_authenticated_session(session->remote.name) &&
        handlers_.on_disconnected) {
        handlers_.on_disconnected(session->remote, reason);
    }
    if (session->initiator && reason != drop_reason::idle && handlers_.on_unreachable) {
        handlers_.on_unreachable(session->dialled_address, reason);
    }
}

bool peer_loop::has_authenticated_session(const std::string& name) const
{
    return std::any_of(sessions_.begin(), sessions_.end(), [&](const peer_session::ptr& session) {
        return session->authenticated && session->remote.name == name;
    });
}

void peer_loop::schedule_check()
{
    heartbeat_timer_.expires_after(settings_.heartbeat_interval);
    heartbeat_timer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (cancelled) {
            return;
        }
        check_sessions();
        schedule_check();
    });
}

void peer_loop::check_sessions()
{
    const auto now = clock::now();
    // A process that was paused received nothing meanwhile, so the silence is no sign of a failed
    // peer.
    const bool paused = now - heartbeat_timer_.expiry() > settings_.heartbeat_interval;
    const auto links = sessions_;
    for (const auto& session : links) {
        session->last_received = paused ? now : session->last_received;
        check_session(session, now);
    }
    for (const auto& address : kept_peers_) {
        session_to(address);
    }
}

void peer_loop::check_session(const peer_session::ptr& session, peer_session::instant now)
{
    if (!session->authenticated) {
        if (now - session->opened > settings_.handshake_timeout) {
            drop(session, drop_reason::unauthenticated);
        }
        return;
    }
    if (now - session->last_received > settings_.silence_timeout) {
        drop(session, drop_reason::silent);
        return;
    }
    if (!kept_open(*session) && session->pending_calls.empty() &&
        now - session->last_used > settings_.idle_timeout) {
        drop(session, drop_reason::idle);
        return;
    }
    // Pings in one direction suffice: the other end counts a received ping as a sign of life.
    if (session->initiator) {
        websocketpp::lib::error_code failed;
        session->socket->ping("", failed);
    }
}

bool peer_loop::kept_open(const peer_session& session) const
{
    // Only the end that opened a connection closes it when idle.
    return !session.initiator || kept_peers_.count(session.dialled_address) > 0;
}

} // namespace ej::peer
