#include "peer_link.h"
#include "clock.h"

#include "leaving_record.h"
#include "peer_codec.h"

#include <logging/log.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <span>
#include <utility>

namespace ej::front {

namespace {

// About 20 bytes each.
constexpr std::size_t held_parts_per_datagram = 500;

} // namespace

peer_link::peer_link(front_context& context, asio::io_context& loop)
    : context_(context), loop_(loop), socket_(loop), batch_timer_(loop), full_load_timer_(loop),
      review_timer_(loop),
      evidence_(context, loop, [this](const peer_message& message, const core::address& to) {
          send(message, {to});
      })
{
}

absl::Status peer_link::open(const core::address& where)
{
    error_code error;
    const auto number = asio::ip::make_address(where.host, error);
    const udp::endpoint endpoint(number, where.port);
    if (!error) {
        socket_.open(endpoint.protocol(), error);
    }
    if (!error) {
        socket_.bind(endpoint, error);
    }
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        return absl::UnavailableError("bind " + core::to_string(where) + ": " + error.message());
    }
    return absl::OkStatus();
}

void peer_link::start()
{
    start_ =
        static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    receive();
    send_full_load();
    evidence_.start();
}

void peer_link::receive()
{
    socket_.async_receive_from(
        asio::buffer(received_), sender_, [this](const error_code& error, std::size_t count) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            // Any other error reports that an earlier datagram could not be delivered, since its
            // receiver is no longer running.
            if (!error) {
                const auto message = decode_peer(std::span(received_).first(count));
                if (message.ok()) {
                    std::visit([this](const auto& one) { apply(one); }, *message);
                }
                else {
                    context_.metrics.count("peer_messages_unreadable_total", {});
                }
            }
            receive();
        });
}

void peer_link::apply(const suspects::death_record& seen)
{
    const auto known = context_.suspects.record_death(seen, now());
    if (!known.empty()) {
        context_.metrics.count("deaths_heard_total", {});
        context_.evidence_changed();
    }
}

void peer_link::apply(const suspects::evidence_query& /*query*/)
{
    evidence_.answer(sender());
}

void peer_link::apply(const suspects::evidence_report& report)
{
    evidence_.apply(report, sender());
}

void peer_link::apply(const rollout::rollout_report& report)
{
    context_.apply_rollout_report(report);
}

void peer_link::apply(const rollout::rollout_verdict& verdict)
{
    context_.apply_rollout_verdict(verdict);
}

void peer_link::send_to(const peer_message& message, const core::address& to)
{
    send(message, {to});
}

core::address peer_link::sender() const
{
    return {sender_.address().to_string(), sender_.port()};
}

void peer_link::apply(const store_update& update)
{
    context_.apply_store_update(update);
}

void peer_link::send_store_update(const store_update& update)
{
    send(update, *context_.domain_peers.load());
}

void peer_link::apply(const forwarding::leaving_notice& told)
{
    std::ranges::for_each(told.runs, [this](const forwarding::endpoint_run& run) {
        record_leaving(context_, {run, forwarding::leaving_source::peer});
    });
}

void peer_link::broadcast_leaving(const forwarding::endpoint_run& run)
{
    asio::post(loop_, [this, run] { send(leaving_.add(run), *context_.domain_peers.load()); });
}

void peer_link::send_leaving()
{
    std::ranges::for_each(leaving_.repeat(), [this](const forwarding::leaving_notice& one) {
        send(one, *context_.domain_peers.load());
    });
}

void peer_link::apply(const suspects::cleared_request& one)
{
    if (context_.suspects.clear(one.request)) {
        context_.evidence_changed();
    }
}

void peer_link::broadcast_cleared(const suspects::cleared_request& one)
{
    asio::post(loop_, [this, one] { send(one, *context_.peers.load()); });
}

void peer_link::apply(const suspects::part_death& seen)
{
    context_.parts.apply(seen);
}

void peer_link::apply(const suspects::held_parts& told)
{
    context_.parts.apply(told);
}

void peer_link::apply(const suspects::cleared_parts& told)
{
    context_.parts.apply(told);
}

void peer_link::broadcast(const peer_message& message)
{
    asio::post(loop_, [this, message] { send(message, *context_.peers.load()); });
}

void peer_link::review_parts_later()
{
    asio::post(loop_, [this] {
        review_due_ = now() + suspects::part_table::settle_time;
        if (!std::exchange(review_armed_, true)) {
            await_review();
        }
    });
}

void peer_link::await_review()
{
    review_timer_.expires_at(review_due_);
    review_timer_.async_wait([this](const error_code& error) {
        if (error) {
            return;
        }
        context_.parts.review();
        review_armed_ = now() < review_due_;
        if (review_armed_) {
            await_review();
        }
    });
}

void peer_link::send_held_parts()
{
    const auto held = context_.parts.held();
    for (std::size_t begin = 0; begin < held.size(); begin += held_parts_per_datagram) {
        const auto count = std::min(held.size() - begin, held_parts_per_datagram);
        const auto first = held.begin() + static_cast<std::ptrdiff_t>(begin);
        send(suspects::held_parts{{first, first + static_cast<std::ptrdiff_t>(count)}},
             *context_.peers.load());
    }
}

void peer_link::broadcast_death(const suspects::death_record& seen)
{
    asio::post(loop_, [this, seen] { send(seen, *context_.peers.load()); });
}

void peer_link::send(const peer_message& message, const std::vector<core::address>& to)
{
    if (to.empty()) {
        return;
    }
    const auto bytes = encode(message);
    for (const core::address& peer : to) {
        error_code error;
        const auto host = asio::ip::make_address(peer.host, error);
        if (!error) {
            socket_.send_to(asio::buffer(bytes), udp::endpoint(host, peer.port), 0, error);
        }
        if (error) {
            context_.metrics.count("peer_messages_unsent_total", {});
        }
    }
}

} // namespace ej::front
