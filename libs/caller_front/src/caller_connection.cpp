#include "caller_connection.h"
#include "clock.h"

#include "call_admission.h"
#include "call_log.h"
#include "local_reply.h"
#include "request_rejection.h"

#include <algorithm>
#include <utility>

namespace ej::front {

namespace {

constexpr std::size_t read_bytes = 8'192;
// Limit for pipelined requests that are buffered while the current one is answered. Further ones
// stay in the kernel.
constexpr std::size_t max_read_ahead_bytes = std::size_t{16} << 10;
// Limit for discarded input, see `linger`.
constexpr std::size_t max_lingered_bytes = std::size_t{64} << 20;

} // namespace

caller_connection::caller_connection(tcp::socket socket, front_context& context,
                                     upstream_pool& pool, waiting_calls& waiting,
                                     std::shared_ptr<caller_table> callers)
    : socket_(std::move(socket)), context_(context), pool_(pool), waiting_(waiting),
      callers_(std::move(callers)),
      output_(socket_, [this](const error_code& error) { written(error); }),
      output_memory_(context.answer_bytes)
{
    ++context_.callers_open;
    ++context_.callers_active;
}

caller_connection::~caller_connection()
{
    stop_serving();
    callers_->remove(number_);
    error_code ignored; // The destructor of a socket would drop `reset_on_close`.
    socket_.close(ignored);
    --context_.callers_open;
}

forwarding::caller_limits caller_connection::limits() const
{
    const auto rules = *context_.rules.load();
    return rules == nullptr ? forwarding::caller_limits{} : rules->rules().limits;
}

void caller_connection::start()
{
    error_code ignored; // The options only affect performance.
    socket_.set_option(tcp::no_delay(true), ignored);
    timer_ = std::make_shared<lazy_timer>(pool_.lane(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->timed_out();
        }
    });
    number_ = callers_->add(weak_from_this());
    await_request();
    if (!accepts_requests()) {
        close_if_idle();
    }
}

void caller_connection::await_request()
{
    phase_ = phase::idle;
    idle_since_ = now();
    report_holding();
    timer_->set(idle_since_ + longest_idle());
    if (reader_.buffer().size() > 0) {
        begin_request();
        return;
    }
    read();
}

void caller_connection::begin_request()
{
    const auto bounds = limits();
    phase_ = phase::reading;
    reading_since_ = now();
    reader_.begin(bounds);
    timer_->set(reading_since_ + bounds.header_timeout);
    parse();
}

void caller_connection::read()
{
    if (std::exchange(reading_, true)) {
        return;
    }
    socket_.async_read_some(
        reader_.buffer().prepare(read_bytes),
        [self = shared_from_this()](const error_code& error, std::size_t count) {
            self->reading_ = false;
            self->received(error, count);
        });
}

void caller_connection::received(const error_code& error, std::size_t count)
{
    if (phase_ == phase::closed) {
        return;
    }
    if (error == asio::error::operation_aborted) {
        wait_stopped();
        return;
    }
    if (error) {
        disconnect(error == asio::error::eof ? connection_end::caller_closed
                                             : connection_end::read_failed);
        return;
    }
    if (phase_ == phase::lingering || phase_ == phase::aborting) {
        lingered_ += count;
        if (lingered_ > max_lingered_bytes) {
            close();
            return;
        }
        read();
        return;
    }
    reader_.buffer().commit(count);
    if (phase_ == phase::idle) {
        begin_request();
    }
    else if (phase_ == phase::reading) {
        parse();
    }
    else {
        read_ahead();
    }
}

/// Reads on while a request is served, unless enough of the following ones has been received.
void caller_connection::read_ahead()
{
    if (reader_.buffer().size() < max_read_ahead_bytes) {
        read();
    }
    else {
        stay_open();
    }
}

void caller_connection::parse()
{
    switch (reader_.advance()) {
    case request_reader::progress::complete:
        handle(reader_.take());
        return;
    case request_reader::progress::faulty:
        reject(reader_.fault());
        return;
    case request_reader::progress::body:
        timer_->set(now() + limits().idle_timeout);
        if (reader_.wants_continue()) {
            send("HTTP/1.1 100 Continue\r\n\r\n", false);
        }
        break;
    case request_reader::progress::header:
        break;
    }
    report_holding();
    read();
}

void caller_connection::handle(caller_request request)
{
    phase_ = phase::answering;
    timer_->clear();
    keep_alive_ = request.keep_alive;
    chunked_ = request.takes_chunks;
    head_only_ = request.message.method == "HEAD";
    request_id_ = request.message.header_value(context_.headers.request_id).value_or("");
    call_bytes_ = request.message.body.capacity();
    report_holding();
    read_ahead(); // Detects that the caller closes the connection while the request runs.
    call_ = admit(context_, pool_, waiting_, std::move(request), shared_from_this());
    if (call_ != nullptr) {
        // The call may end, and be replaced, within `start`.
        const auto started = call_;
        started->start();
    }
}

void caller_connection::reject(request_fault fault)
{
    const auto rejection = rejection_of(fault);
    send_rejection(rejection.status, rejection.reason);
}

void caller_connection::send_rejection(unsigned status, std::string_view reason)
{
    reject_with(local_reply(status, reason, "", context_.headers), reason);
}

/// Answers a request that has not been received whole, and closes the connection.
void caller_connection::reject_with(const http::response& answer, std::string_view reason)
{
    phase_ = phase::answering;
    timer_->clear();
    keep_alive_ = false;
    head_only_ = false;
    reader_.discard();
    context_.metrics.count("refusals_total", {{"reason", std::string(reason)}});
    log_rejection("", "", reason, answer.status, core::revision());
    reply(answer);
}

void caller_connection::abort()
{
    if (phase_ != phase::answering) {
        return;
    }
    record_end(connection_end::call_aborted);
    phase_ = phase::aborting;
    call_.reset();
    call_bytes_ = 0;
    report_holding();
    if (!output_.busy()) {
        end_aborted();
    }
}

void caller_connection::send(std::string text, bool last)
{
    last_written_ = last_written_ || last;
    if (text.empty() && !output_.busy()) {
        written({});
        return;
    }
    progress_at_ = now();
    timer_->set(next_progress_check());
    output_.send(std::move(text), shared_from_this());
    report_holding();
}

void caller_connection::written(const error_code& error)
{
    if (phase_ == phase::closed) {
        return;
    }
    timer_->clear();
    output_memory_.release();
    report_holding();
    if (error) {
        disconnect(connection_end::write_failed);
    }
    else if (phase_ == phase::aborting) {
        end_aborted();
    }
    else if (phase_ == phase::reading) {
        timer_->set(now() + limits().idle_timeout);
    }
    else if (std::exchange(last_written_, false)) {
        on_answer_sent();
    }
}

void caller_connection::on_answer_sent()
{
    call_.reset();
    call_bytes_ = 0;
    ++answered_;
    if (!keep_alive_) {
        phase_ = phase::idle;
        reset_on_close(false);
        record_end(connection_end::answer_sent);
        linger();
        return;
    }
    await_request();
    // The answer announced no close, so the caller may have sent its next request already.
    if (context_.leaving) {
        close_if_idle();
    }
}

/// A leaving daemon closes each connection behind an answer that says so, unless a further request
/// has been read already.
bool caller_connection::announces_close() const
{
    return !keep_alive_ || (context_.leaving && reader_.buffer().size() == 0);
}

} // namespace ej::front
