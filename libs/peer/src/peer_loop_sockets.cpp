#include "peer_loop.h"

#include "handshake.h"

#include <stdexcept>

namespace ej::peer {

namespace {

using clock = std::chrono::steady_clock;

drop_reason reason_of(const peer_session& session)
{
    const auto code = local_close_code(session.socket);
    if (code == websocketpp::close::status::message_too_big) {
        return drop_reason::too_large;
    }
    // A normal close code means that the other end closed an idle connection.
    const bool closed_normally =
        remote_close_code(session.socket) == websocketpp::close::status::normal;
    return closed_normally ? drop_reason::idle : drop_reason::closed;
}

} // namespace

template <class Endpoint>
void peer_loop::configure(Endpoint& endpoint)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(context_.get());
    endpoint.set_max_message_size(settings_.max_frame_bytes);
    endpoint.set_tcp_post_init_handler([&endpoint](const websocketpp::connection_hdl& handle) {
        boost::system::error_code ignored;
        tcp_socket(endpoint.get_con_from_hdl(handle))
            .set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    });
    endpoint.set_open_handshake_timeout(settings_.handshake_timeout.count());
}

template void peer_loop::configure(acceptor_endpoint&);
template void peer_loop::configure(initiator_endpoint&);

void peer_loop::listen()
{
    websocketpp::lib::error_code failed;
    acceptor_.set_reuse_addr(true);
    acceptor_.listen(settings_.listen.host, std::to_string(settings_.listen.port), failed);
    if (failed) {
        throw std::runtime_error("cannot listen for peers: " + failed.message());
    }
    boost::system::error_code unbound;
    self_.name = settings_.name;
    self_.domain = settings_.domain;
    self_.address.host =
        settings_.advertised_host.empty() ? settings_.listen.host : settings_.advertised_host;
    self_.address.port = acceptor_.get_local_endpoint(unbound).port();
    // Attached before the opening handshake, so that no early frame is missed.
    acceptor_.set_validate_handler([this](const websocketpp::connection_hdl& handle) {
        attach(acceptor_.get_con_from_hdl(handle), std::make_shared<peer_session>());
        return true;
    });
    acceptor_.start_accept();
}

peer_session::ptr peer_loop::session_to(const peer_address& to)
{
    const auto found = by_address_.find(to);
    return found == by_address_.end() ? open_connection(to) : found->second;
}

peer_session::ptr peer_loop::open_connection(const peer_address& to)
{
    auto session = std::make_shared<peer_session>();
    session->initiator = true;
    session->dialled_address = to;
    const auto uri = "ws://" + to.host + ':' + std::to_string(to.port) + "/peer";
    websocketpp::lib::error_code failed;
    const auto socket = initiator_.get_connection(uri, failed);
    if (failed) {
        session->ended = true;
        return session;
    }
    by_address_[to] = session;
    attach(socket, session);
    initiator_.connect(socket);
    return session;
}

void peer_loop::attach(const socket_connection& socket, const peer_session::ptr& session)
{
    session->socket = socket;
    session->own_nonce = make_nonce();
    session->opened = clock::now();
    session->last_received = session->opened;
    session->last_used = session->opened;
    sessions_.insert(session);
    // The socket's handlers hold a weak pointer, because the session owns the socket.
    using handle = websocketpp::connection_hdl;
    const std::weak_ptr<peer_session> owner = session;
    socket->set_open_handler([this, owner](const handle& opened) {
        const auto alive = owner.lock();
        if (!alive || alive->ended) {
            initiator_.get_con_from_hdl(opened)->terminate(websocketpp::lib::error_code{});
            return;
        }
        send_challenge(alive);
    });
    const auto on_end = [this, owner](const handle&) {
        if (const auto alive = owner.lock()) {
            end(alive, reason_of(*alive));
        }
    };
    socket->set_fail_handler(on_end);
    socket->set_close_handler(on_end);
    const auto record_receipt = [owner](const handle&, const std::string&) {
        if (const auto alive = owner.lock()) {
            alive->last_received = clock::now();
        }
        return true;
    };
    socket->set_pong_handler(record_receipt);
    socket->set_ping_handler(record_receipt);
    socket->set_message_handler([this, owner](const handle&, const socket_message& message) {
        if (const auto alive = owner.lock()) {
            receive(alive, payload_of(message));
        }
    });
}

} // namespace ej::peer
