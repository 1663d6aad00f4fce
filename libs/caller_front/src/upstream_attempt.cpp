#include "upstream_attempt.h"

#include "clock.h"
#include "unacknowledged_bytes.h"

#include <array>
#include <chrono>
#include <memory>
#include <utility>

namespace ej::front {

namespace {

using forwarding::attempt_end;

constexpr std::size_t read_bytes = 8'192;

// Limit for received bytes that the parser cannot consume yet. It limits the header of an answer
// itself, but neither chunk extensions nor trailers.
constexpr std::size_t max_unparsed_bytes = 65'536;

// Limit for the interim answers and the answers to other requests that precede the expected one.
constexpr std::size_t max_skipped_bytes = std::size_t{1} << 20;

// A connection is probed only if its answer takes this long, which saves system calls and packets
// for most.
constexpr std::chrono::milliseconds probe_after{1'000};

} // namespace

upstream_attempt::upstream_attempt(upstream_pool& pool, core::endpoint endpoint,
                                   std::string echo_field, std::string request_id)
    : pool_(pool), endpoint_(std::move(endpoint)), echo_field_(std::move(echo_field)),
      request_id_(std::move(request_id))
{
}

void upstream_attempt::start(std::weak_ptr<attempt_listener> listener, outgoing_message message,
                             bool head_only, core::duration connect_timeout)
{
    listener_ = std::move(listener);
    message_ = std::move(message);
    head_only_ = head_only;
    parser_ = std::make_unique<answer_parser>();
    parser_->skip(head_only_);
    started_ = now();
    connection_ = pool_.take(endpoint_.where, request_id_, started_);
    if (connection_ != nullptr) {
        send();
        return;
    }
    connect(connect_timeout);
}

void upstream_attempt::connect(core::duration timeout)
{
    connection_ = std::make_shared<upstream_connection>(pool_.lane());
    error_code error;
    const auto number = asio::ip::make_address(endpoint_.where.host, error);
    if (error) {
        // Posted, so that the listener is never called from within `start`.
        asio::post(pool_.lane(), [self = shared_from_this()] {
            self->ended(attempt_end::not_sent, "address is not an IP address");
        });
        return;
    }
    connect_timer_ = std::make_shared<lazy_timer>(pool_.lane(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->ended(attempt_end::not_sent, "connect timed out");
        }
    });
    connect_timer_->set(started_ + timeout);
    connection_->socket.async_connect(
        tcp::endpoint(number, endpoint_.where.port),
        [self = shared_from_this()](const error_code& failure) { self->connected(failure); });
}

void upstream_attempt::connected(const error_code& error)
{
    if (over_) {
        return;
    }
    connect_timer_->stop();
    if (error) {
        ended(attempt_end::not_sent, "connect: " + error.message());
        return;
    }
    const auto listener = listener_.lock();
    if (listener != nullptr && !listener->may_send(*this)) {
        ended(attempt_end::not_sent, "the endpoint no longer accepts requests");
        return;
    }
    connection_->set_up();
    send();
}

void upstream_attempt::send()
{
    sent_ = true;
    if (const auto listener = listener_.lock()) {
        listener->on_sent(*this);
    }
    reused_ = !connection_->sent.empty();
    connection_->note_sent(request_id_);
    probe_timer_ = std::make_shared<lazy_timer>(pool_.lane(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->begin_probes();
        }
    });
    probe_timer_->set(now() + probe_after);
    // Owned by the handler, since a cancelled write may still use it.
    const auto message = std::make_shared<const outgoing_message>(std::move(message_));
    const std::array<asio::const_buffer, 2> parts{asio::buffer(message->head),
                                                  asio::buffer(*message->body)};
    asio::async_write(connection_->socket, parts,
                      [self = shared_from_this(), message](const error_code& error, std::size_t) {
                          // The read ends the attempt, after any early answer has been read.
                          self->written_ = !error;
                          self->write_failed_ = bool(error);
                      });
    read();
}

void upstream_attempt::begin_probes()
{
    // An answer that no other endpoint may give is waited for: the network may come back in time.
    const auto listener = listener_.lock();
    if (listener == nullptr || !listener->may_be_repeated()) {
        return;
    }
    // Until then the shorter limit for a request without acknowledgement applies.
    if (unacknowledged_bytes(connection_->socket) > 0) {
        probe_timer_->set(now() + probe_after);
        return;
    }
    connection_->probe(true);
}

void upstream_attempt::read()
{
    connection_->socket.async_read_some(
        connection_->buffer.prepare(read_bytes),
        [self = shared_from_this()](const error_code& error, std::size_t count) {
            self->received(error, count);
        });
}

void upstream_attempt::received(const error_code& error, std::size_t count)
{
    if (over_) {
        return;
    }
    if (error) {
        end_of_connection(error);
        return;
    }
    connection_->buffer.commit(count);
    if (parse() && !over_) {
        read();
    }
}

/// Parses the received bytes; true if more must be read.
bool upstream_attempt::parse()
{
    auto& buffer = connection_->buffer;
    while (buffer.size() > 0 && !parser_->is_done()) {
        error_code error;
        const auto used = parser_->consume(buffer.data(), error);
        buffer.consume(used);
        message_bytes_ += used;
        if (error == wire::error::need_more) {
            break;
        }
        if (error) {
            ended(attempt_end::spoiled, "answer is not valid HTTP: " + error.message());
            return false;
        }
    }
    if (!parser_->is_done() && buffer.size() > max_unparsed_bytes) {
        ended(attempt_end::spoiled, "part of the answer exceeds the size limit");
        return false;
    }
    if (!parser_->is_header_done()) {
        return true;
    }
    if (!head_seen_) {
        head_read();
    }
    if (over_) {
        return false;
    }
    const bool skipped = parser_->interim() || stale_answer_;
    if (skipped && skipped_bytes_ + message_bytes_ > max_skipped_bytes) {
        ended(attempt_end::spoiled, "bytes before the answer exceed the size limit");
        return false;
    }
    auto part = parser_->take_body();
    if (!part.empty() && !stale_answer_) {
        if (const auto listener = listener_.lock()) {
            listener->on_body(*this, std::move(part));
        }
    }
    if (over_ || !parser_->is_done()) {
        return !over_;
    }
    if (skipped) {
        skipped_bytes_ += std::exchange(message_bytes_, 0);
        parser_ = std::make_unique<answer_parser>();
        parser_->skip(head_only_);
        head_seen_ = stale_answer_ = false;
        return buffer.size() == 0 || parse();
    }
    complete();
    return false;
}

bool upstream_attempt::matches_request()
{
    const auto echoed = parser_->header(echo_field_);
    return request_id_.empty() || echoed.empty() || echoed == request_id_;
}

bool upstream_attempt::answer_is_own() const
{
    return !reused_ || (!request_id_.empty() && parser_->header(echo_field_) == request_id_);
}

void upstream_attempt::head_read()
{
    head_seen_ = true;
    if (parser_->interim()) {
        return;
    }
    if (!matches_request()) {
        // A surplus answer to an earlier request on this connection; the expected answer follows.
        stale_answer_ = surplus_answer_ = true;
        return;
    }
    if (const auto listener = listener_.lock()) {
        listener->on_head(*this);
    }
}

} // namespace ej::front
