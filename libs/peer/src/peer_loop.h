#pragma once

#include "asio_settings.h"
#include "call_table.h"
#include "session.h"
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

/// The transport's thread and all that it owns. Public functions are thread-safe: they hand the
/// work to the thread; private ones run on it.
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
    void keep(std::set<peer_address> peers);
    void send(const peer_address& to, std::string payload);
    void request(const peer_address& to, std::string payload, std::chrono::milliseconds timeout,
                 std::function<void(call_result)> done);
    [[nodiscard]] std::uint64_t dropped(drop_reason reason) const;
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    template <class Endpoint>
    void prepare(Endpoint& endpoint);
    void listen();
    void adopt(const socket_connection& socket, const session::ptr& link);
    session::ptr dial(const peer_address& to);
    session::ptr link_to(const peer_address& to);
    void deliver(const session::ptr& link, frame value);
    void write(const session::ptr& link, const frame& value);
    void greet(const session::ptr& link);
    void receive(const session::ptr& link, const std::string& bytes);
    void handle(const session::ptr& link, const frame& value);
    void on_challenge(const session::ptr& link, const frame& value);
    void on_proof(const session::ptr& link, const frame& value);
    void on_message(const session::ptr& link, const frame& value);
    void on_request(const session::ptr& link, const frame& value);
    void on_answer(const session::ptr& link, const frame& value);
    void drop(const session::ptr& link, drop_reason reason);
    void end(const session::ptr& link, drop_reason reason);
    [[nodiscard]] bool linked(const std::string& name) const;
    void schedule_check();
    void check_all();
    void check(const session::ptr& link, session::instant now);
    [[nodiscard]] bool wanted(const session& link) const;

    peer_settings settings_;
    peer_handlers handlers_;
    peer_identity self_;
    std::shared_ptr<boost::asio::io_context> context_;
    acceptor_endpoint acceptor_;
    initiator_endpoint initiator_;
    boost::asio::steady_timer heartbeat_;
    call_table calls_;
    std::set<session::ptr> sessions_;
    std::map<peer_address, session::ptr> by_address_;
    std::set<peer_address> kept_;
    std::array<std::atomic<std::uint64_t>, drop_reason_count> dropped_{};
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::thread thread_;
};

} // namespace ej::peer
