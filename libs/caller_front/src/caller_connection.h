#pragma once

#include "byte_share.h"
#include "caller_output.h"
#include "caller_table.h"
#include "connection_end.h"
#include "connection_phase.h"
#include "forwarded_call.h"
#include "front_context.h"
#include "lazy_timer.h"
#include "net.h"
#include "reply_sink.h"
#include "request_reader.h"
#include "upstream_pool.h"
#include "waiting_calls.h"

#include <core/instant.h>
#include <http/response.h>

#include <cstdint>
#include <memory>
#include <string>

namespace ej::front {

/// A caller's connection: reads requests one at a time and sends the answers. It keeps reading
/// while a request runs, to detect that the caller closes the connection. Used on one lane.
class caller_connection final : public reply_sink,
                                public std::enable_shared_from_this<caller_connection> {
public:
    /// `context`, `pool` and `waiting` outlive the connection.
    caller_connection(tcp::socket socket, front_context& context, upstream_pool& pool,
                      waiting_calls& waiting, std::shared_ptr<caller_table> callers);
    ~caller_connection() override;
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;

    void start();

    /// Closes the connection if no request has arrived that is not answered yet.
    void close_if_idle();

    /// Refuses the current call if it would outlast a leaving daemon, see `forwarded_call::review`.
    void review_call();

    /// Ends the current call with its final answer now.
    void end_call();

    /// Closes the connection, since there are too many, unless a request has just arrived on it.
    /// Not called while a request is served, only while its answer is left unread.
    void close_surplus();

    /// Frees what an unfinished request or an unread answer holds, since callers hold too much. The
    /// request is refused.
    void free_memory();

    void reply(const http::response& answer) override;
    void start_stream(const http::response& head) override;
    void write(const std::string& part) override;
    void finish() override;
    void abort() override;

private:
    using phase = connection_phase;

    void await_request();
    void begin_request();
    void read();
    void read_ahead();
    void received(const error_code& error, std::size_t count);
    void parse();
    void handle(caller_request request);
    void reject(request_fault fault);
    void send_rejection(unsigned status, std::string_view reason);
    void reject_with(const http::response& answer, std::string_view reason);
    void report_holding();
    [[nodiscard]] pressure::holding holding() const;
    void timed_out();
    void idle_limit_passed();
    [[nodiscard]] core::duration longest_idle() const;
    void send(std::string text, bool last);
    void check_progress();
    [[nodiscard]] core::instant next_progress_check() const;
    void written(const error_code& error);
    void on_answer_sent();
    [[nodiscard]] bool announces_close() const;
    void stop_waiting(connection_end why);
    void wait_stopped();
    void half_close();
    void record_crossing();
    void stay_open();
    [[nodiscard]] bool accepts_requests() const;
    void stop_serving();
    void begin_linger();
    void end_aborted();
    void reset_when_received();
    void reset_on_close(bool enabled);
    void linger();
    void disconnect(connection_end why);
    void end(connection_end why);
    void record_end(connection_end why);
    void close();
    [[nodiscard]] forwarding::caller_limits limits() const;

    tcp::socket socket_;
    front_context& context_;
    upstream_pool& pool_;
    waiting_calls& waiting_;
    std::shared_ptr<caller_table> callers_;
    std::uint64_t number_ = 0; // In `callers_`.
    request_reader reader_;
    std::shared_ptr<forwarded_call> call_;
    std::shared_ptr<lazy_timer> timer_;
    phase phase_ = phase::idle;
    core::instant idle_since_{};
    core::instant reading_since_{};
    std::size_t call_bytes_ = 0; // Of the request that is being served.
    bool keep_alive_ = true;
    bool chunked_ = true;    // The caller supports chunked answers.
    bool unframed_ = false;  // The end of the connection marks the end of the answer.
    bool head_only_ = false; // The request was HEAD.
    bool reading_ = false;
    bool awaiting_failure_ = false; // See `stay_open`.
    bool serving_ = true;           // Included in `callers_active`.
    caller_output output_;
    byte_share output_memory_;
    core::instant progress_at_{};    // Of the output.
    std::uint64_t acknowledged_ = 0; // Bytes of the output, at the latest check.
    bool last_written_ = false;      // The last part of the answer has been queued.
    std::size_t lingered_ = 0;
    core::instant reset_by_{};                                  // Of an aborted answer.
    connection_end end_of_wait_ = connection_end::idle_timeout; // Cause of a stopped wait.
    std::string request_id_;                                    // Of the latest whole request.
    std::uint64_t answered_ = 0;
};

} // namespace ej::front
