#pragma once

#include "asio_settings.h"
#include "call_table.h"
#include "peer_session.h"
#include "socket_types.h"

#include <peer/peer_handlers.h>
#include <peer/peer_settings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace ej::peer {

/// The transport's thread and the state that it owns. Public functions are thread-safe and post
/// their work to the thread; private functions run on it.
class peer_loop {
public:
    peer_loop(peer_settings settings, peer_handlers handlers);
    ~peer_loop();

    peer_loop(const peer_loop&) = delete;
    peer_loop& operator=(const peer_loop&) = delete;
    peer_loop(peer_loop&&) = delete;
    peer_loop& operator=(peer_loop&&) = delete;

    void stop();
    [[nodiscard]] peer_address address() const { return self_.address; }
    void keep_connected(std::set<peer_address> peers);
    void send(const peer_address& to, std::string payload);
    void request(const peer_address& to, std::string payload, std::chrono::milliseconds timeout,
                 std::function<void(call_result)> done);
    [[nodiscard]] std::uint64_t dropped(drop_reason reason) const;
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    template <class Endpoint>
    void configure(Endpoint& endpoint);
    void listen();
    void attach(const socket_connection& socket, const peer_session::ptr& session);
    peer_session::ptr open_connection(const peer_address& to);
    peer_session::ptr session_to(const peer_address& to);
    void send_or_queue(const peer_session::ptr& session, frame value);
    void write(const peer_session::ptr& session, const frame& value);
    void send_challenge(const peer_session::ptr& session);
    void receive(const peer_session::ptr& session, const std::string& bytes);
    void handle(const peer_session::ptr& session, const frame& value);
    void on_challenge(const peer_session::ptr& session, const frame& value);
    void on_proof(const peer_session::ptr& session, const frame& value);
    void on_message(const peer_session::ptr& session, const frame& value);
    void on_request(const peer_session::ptr& session, const frame& value);
    void on_answer(const peer_session::ptr& session, const frame& value);
    void drop(const peer_session::ptr& session, drop_reason reason);
    void end(const peer_session::ptr& session, drop_reason reason);
    [[nodiscard]] bool has_authenticated_session(const std::string& name) const;
    void schedule_check();
    void check_sessions();
    void check_session(const peer_session::ptr& session, peer_session::instant now);
    [[nodiscard]] bool kept_open(const peer_session& session) const;

    peer_settings settings_;
    peer_handlers handlers_;
    peer_identity self_;
    std::shared_ptr<boost::asio::io_context> context_;
    acceptor_endpoint acceptor_;
    initiator_endpoint initiator_;
    boost::asio::steady_timer heartbeat_timer_;
    call_table calls_;
    std::set<peer_session::ptr> sessions_;
    std::map<peer_address, peer_session::ptr> by_address_;
    std::set<peer_address> kept_peers_;
    std::array<std::atomic<std::uint64_t>, drop_reason_count> dropped_{};
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::thread thread_;
};

} // namespace ej::peer
