#include "peer_loop.h"

#include "handshake.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace ej::peer {

namespace {

using clock = std::chrono::steady_clock;

} // namespace

void peer_loop::greet(const session::ptr& link)
{
    write(link, {frame_kind::challenge, 0, link->own_nonce, self_});
}

void peer_loop::receive(const session::ptr& link, const std::string& bytes)
{
    if (link->ended) {
        return;
    }
    link->last_heard = clock::now();
    const auto value = decode(bytes);
    if (!value) {
        drop(link, drop_reason::malformed);
        return;
    }
    handle(link, *value);
}

void peer_loop::handle(const session::ptr& link, const frame& value)
{
    using handler = void (peer_loop::*)(const session::ptr&, const frame&);
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
        return; // A newer version's frame.
    }
    if (found->before_authentication == link->authenticated) {
        drop(link, drop_reason::unauthenticated);
        return;
    }
    (this->*found->run)(link, value);
}

void peer_loop::on_challenge(const session::ptr& link, const frame& value)
{
    if (!link->other_nonce.empty() || value.payload.size() != nonce_bytes) {
        drop(link, drop_reason::unauthenticated);
        return;
    }
    link->other_nonce = value.payload;
    link->other = value.sender;
    auto proof =
        make_proof(settings_.secret, link->initiator, self_, link->own_nonce, link->other_nonce);
    write(link, {frame_kind::proof, 0, std::move(proof), {}});
}

void peer_loop::on_proof(const session::ptr& link, const frame& value)
{
    const auto expected = make_proof(settings_.secret, !link->initiator, link->other,
                                     link->other_nonce, link->own_nonce);
    if (link->other_nonce.empty() || !equal_proofs(value.payload, expected)) {
        drop(link, drop_reason::unauthenticated);
        return;
    }
    const bool first = !linked(link->other.name);
    link->authenticated = true;
    if (!link->initiator) {
        by_address_.emplace(link->other.address, link);
    }
    if (first && handlers_.on_connected) {
        handlers_.on_connected(link->other);
    }
    for (const auto& waiting : std::exchange(link->waiting, {})) {
        write(link, waiting);
    }
}

void peer_loop::on_message(const session::ptr& link, const frame& value)
{
    link->last_used = clock::now();
    if (handlers_.on_message) {
        handlers_.on_message(link->other, value.payload);
    }
}

void peer_loop::on_request(const session::ptr& link, const frame& value)
{
    link->last_used = clock::now();
    if (!handlers_.on_request) {
        return;
    }
    // An answer may come after this loop has gone; a task that is posted then never runs.
    const std::weak_ptr<boost::asio::io_context> thread = context_;
    const std::weak_ptr<session> caller = link;
    const auto number = value.call;
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
    handlers_.on_request(link->other, value.payload, reply);
}

void peer_loop::on_answer(const session::ptr& link, const frame& value)
{
    link->last_used = clock::now();
    calls_.answer(link, value.call, value.payload);
}

} // namespace ej::peer
