#include "mailbox.h"

#include <peer/peer_node.h>

#include <catch2/catch.hpp>

#include <future>

namespace ej::peer {

namespace {

constexpr auto answer_timeout = std::chrono::seconds(30);

peer_settings settings_of(const std::string& name)
{
    peer_settings settings;
    settings.name = name;
    settings.domain = "d";
    settings.listen = {"127.0.0.1", 0};
    settings.secret = "the secret of this fleet";
    settings.heartbeat_interval = std::chrono::milliseconds(50);
    return settings;
}

call_result send_request(peer_node& from, const peer_address& to, const std::string& payload,
                         std::chrono::milliseconds timeout = answer_timeout)
{
    mailbox<call_result> done;
    from.request(to, payload, timeout, [&](const call_result& result) { done.put(result); });
    return done.take();
}

peer_handlers echo()
{
    peer_handlers handlers;
    handlers.on_request = [](const peer_identity& from, const std::string& payload,
                             const peer_handlers::reply& reply) {
        reply(from.name + ':' + payload);
    };
    return handlers;
}

peer_handlers report_disconnects(mailbox<drop_reason>& reasons, peer_handlers handlers = {})
{
    handlers.on_disconnected = [&](const peer_identity&, drop_reason reason) {
        reasons.put(reason);
    };
    return handlers;
}

} // namespace

TEST_CASE("a request is answered, and the handler gets the identity of its sender")
{
    peer_node server(settings_of("b"), echo());
    peer_node client(settings_of("a"), {});
    CHECK(send_request(client, server.address(), "x") == call_result{call_status::answered, "a:x"});
    CHECK(client.bytes_sent() > 0);
}

TEST_CASE("a message reaches the peer, and its reply message arrives over the same connection")
{
    mailbox<std::string> seen;
    mailbox<std::string> back;
    peer_node* answering = nullptr;
    peer_handlers at_server;
    at_server.on_message = [&](const peer_identity& from, const std::string& payload) {
        answering->send(from.address, "back");
        seen.put(payload);
    };
    peer_handlers at_client;
    at_client.on_message = [&](const peer_identity&, const std::string& payload) {
        back.put(payload);
    };
    peer_node server(settings_of("b"), at_server);
    answering = &server;
    peer_node client(settings_of("a"), at_client);
    client.send(server.address(), "there");
    CHECK(seen.take() == "there");
    CHECK(back.take() == "back");
}

TEST_CASE("a peer without the fleet's secret is dropped, and its request is not delivered")
{
    mailbox<drop_reason> dropped;
    peer_handlers at_client;
    at_client.on_unreachable = [&](const peer_address&, drop_reason reason) {
        dropped.put(reason);
    };
    auto other_fleet = settings_of("a");
    other_fleet.secret = "the secret of another fleet";
    peer_node server(settings_of("b"), echo());
    peer_node client(other_fleet, at_client);
    CHECK(send_request(client, server.address(), "x").status == call_status::unreachable);
    dropped.take();
    CHECK(client.dropped(drop_reason::unauthenticated) +
              server.dropped(drop_reason::unauthenticated) >
          0);
}

TEST_CASE("a request to a closed address is unreachable, one without an answer times out")
{
    peer_handlers unanswering;
    unanswering.on_request = [](const peer_identity&, const std::string&,
                                const peer_handlers::reply&) {};
    peer_address gone;
    {
        peer_node closed(settings_of("c"), {});
        gone = closed.address();
    }
    peer_node server(settings_of("b"), unanswering);
    peer_node client(settings_of("a"), {});
    CHECK(send_request(client, gone, "x").status == call_status::unreachable);
    CHECK(send_request(client, server.address(), "x", std::chrono::milliseconds(300)).status ==
          call_status::timed_out);
}

TEST_CASE("a frame above the size limit drops the connection as too large")
{
    mailbox<drop_reason> dropped;
    auto small = settings_of("b");
    small.max_frame_bytes = 2'000;
    peer_node server(small, report_disconnects(dropped, echo()));
    peer_node client(settings_of("a"), {});
    CHECK(send_request(client, server.address(), "x").status == call_status::answered);
    CHECK(send_request(client, server.address(), std::string(10'000, 'x')).status ==
          call_status::lost);
    CHECK(dropped.take() == drop_reason::too_large);
}

TEST_CASE("a kept peer that restarts is connected again, an idle connection is closed")
{
    mailbox<drop_reason> closed;
    auto short_idle_timeout = settings_of("a");
    short_idle_timeout.idle_timeout = std::chrono::milliseconds(100);
    peer_node client(short_idle_timeout, report_disconnects(closed));
    peer_address where;
    {
        mailbox<drop_reason> closed_there;
        peer_node idle(settings_of("b"), report_disconnects(closed_there, echo()));
        CHECK(send_request(client, idle.address(), "x").status == call_status::answered);
        CHECK(closed.take() == drop_reason::idle);
        CHECK(closed_there.take() == drop_reason::idle);
        where = idle.address();
    }
    client.keep_connected({where});
    mailbox<peer_identity> again;
    peer_handlers at_server;
    at_server.on_connected = [&](const peer_identity& from) { again.put(from); };
    auto same = settings_of("b");
    same.listen = where;
    peer_node restarted(same, at_server);
    CHECK(again.take() == peer_identity{"a", "d", client.address()});
}

TEST_CASE("a peer that stops answering heartbeats is dropped as silent")
{
    mailbox<drop_reason> dropped;
    std::promise<void> resume;
    auto resumed = resume.get_future().share();
    peer_handlers paused;
    paused.on_message = [resumed](const peer_identity&, const std::string&) { resumed.wait(); };
    auto short_silence_timeout = settings_of("a");
    short_silence_timeout.silence_timeout = std::chrono::milliseconds(200);
    peer_node server(settings_of("b"), paused);
    peer_node client(short_silence_timeout, report_disconnects(dropped));
    client.send(server.address(), "pause");
    CHECK(dropped.take() == drop_reason::silent);
    resume.set_value();
}

} // namespace ej::peer
