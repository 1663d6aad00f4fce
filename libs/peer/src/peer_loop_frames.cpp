#include "peer_loop.h"

#include "handshake.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace ej::peer {

namespace {

using clock = std::chrono::steady_clock;

} // namespace

void peer_loop::send_challenge(const peer_session::ptr& session)
{
    write(session, {frame_kind::challenge, 0, session->own_nonce, self_});
}

void peer_loop::receive(const peer_session::ptr& session, const std::string& bytes)
{
    if (session->ended) {
        return;
    }
    session->last_received = clock::now();
    const auto value = decode(bytes);
    if (!value) {
        drop(session, drop_reason::malformed);
        return;
    }
    handle(session, *value);
}

void peer_loop::handle(const peer_session::ptr& session, const frame& value)
{
    using handler = void (peer_loop::*)(const peer_session::ptr&, const frame&);
    struct row {
        frame_kind kind;
        bool before_authentication;
        handler run;
    };
    static constexpr std::array<row, 5> rows{
        {{frame_kind::challenge, true, &peer_loop::on_challenge},
         {frame_kind::proof, true, &peer_loop::on_proof},
         {frame_kind::message, false, &peer_loop::on_message},
         {frame_kind::request, false, &peer_loop::on_request},
         {frame_kind::answer, false, &peer_loop::on_answer}}};
    const auto* const found = std::find_if(
        rows.begin(), rows.end(), [&](const row& entry) { return entry.kind == value.kind; });
    if (found == rows.end()) {
        return; // A frame kind of a newer version.
    }
    if (found->before_authentication == session->authenticated) {
        drop(session, drop_reason::unauthenticated);
        return;
    }
    (this->*found->run)(session, value);
}

void peer_loop::on_challenge(const peer_session::ptr& session, const frame& value)
{
    if (!session->remote_nonce.empty() || value.payload.size() != nonce_bytes) {
        drop(session, drop_reason::unauthenticated);
        return;
    }
    session->remote_nonce = value.payload;
    session->remote = value.sender;
    auto proof = make_proof(settings_.secret, session->initiator, self_, session->own_nonce,
                            session->remote_nonce);
    write(session, {frame_kind::proof, 0, std::move(proof), {}});
}

void peer_loop::on_proof(const peer_session::ptr& session, const frame& value)
{
    const auto expected = make_proof(settings_.secret, !session->initiator, session->remote,
                                     session->remote_nonce, session->own_nonce);
    if (session->remote_nonce.empty() || !equal_proofs(value.payload, expected)) {
        drop(session, drop_reason::unauthenticated);
        return;
    }
    const bool first = !has_authenticated_session(session->remote.name);
    session->authenticated = true;
    if (!session->initiator) {
        by_address_.emplace(session->remote.address, session);
    }
    if (first && handlers_.on_connected) {
        handlers_.on_connected(session->remote);
    }
    for (const auto& unsent : std::exchange(session->unsent, {})) {
        write(session, unsent);
    }
}

void peer_loop::on_message(const peer_session::ptr& session, const frame& value)
{
    session->last_used = clock::now();
    if (handlers_.on_message) {
        handlers_.on_message(session->remote, value.payload);
    }
}

void peer_loop::on_request(const peer_session::ptr& session, const frame& value)
{
    session->last_used = clock::now();
    if (!handlers_.on_request) {
        return;
    }
    // The reply may be called after this loop is destroyed; a task posted after it stopped never
    // runs.
    const std::weak_ptr<boost::asio::io_context> thread = context_;
    const std::weak_ptr<peer_session> caller = session;
    const auto number = value.request_number;
    const auto reply = [this, thread, caller, number](std::string payload) {
        const auto context = thread.lock();
        if (!context) {
            return;
        }
        boost::asio::post(*context, [this, caller, number, payload = std::move(payload)]() mutable {
            if (const auto target = caller.lock()) {
                write(target, {frame_kind::answer, number, std::move(payload), {}});
            }
        });
    };
    handlers_.on_request(session->remote, value.payload, reply);
}

void peer_loop::on_answer(const peer_session::ptr& session, const frame& value)
{
    session->last_used = clock::now();
    calls_.answer(session, value.request_number, value.payload);
}

} // namespace ej::peer
