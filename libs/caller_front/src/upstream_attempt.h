#pragma once

#include "answer_parser.h"
#include "attempt_listener.h"
#include "lazy_timer.h"
#include "net.h"
#include "outgoing_message.h"
#include "upstream_connection.h"
#include "upstream_pool.h"

#include <core/endpoint.h>
#include <core/instant.h>

#include <memory>
#include <string>

namespace ej::front {

/// One request to one endpoint: connects, sends the request and reads the answer. Used on one lane.
class upstream_attempt : public std::enable_shared_from_this<upstream_attempt> {
public:
    /// `pool` outlives the attempt. `echo_field` is the header field in which answers repeat the
    /// identifier of their request, and `request_id` the expected value; if it is empty, every
    /// answer is accepted.
    upstream_attempt(upstream_pool& pool, core::endpoint endpoint, std::string echo_field,
                     std::string request_id);

    /// Sends `message`; `listener` is notified of the progress until `cancel`.
    void start(std::weak_ptr<attempt_listener> listener, outgoing_message message, bool head_only,
               core::duration connect_timeout);

    /// Closes the connection; the listener is not notified any more.
    void cancel();

    [[nodiscard]] const core::endpoint& endpoint() const { return endpoint_; }
    [[nodiscard]] const answer_parser& answer() const { return *parser_; }

    /// True if the answer certainly belongs to this request: it echoes the request's identifier, or
    /// no earlier request was sent on the connection.
    [[nodiscard]] bool answer_is_own() const;

    /// True once the first byte may have reached the endpoint.
    [[nodiscard]] bool sent() const { return sent_; }

    /// True if the end of the connection marked the end of the body.
    [[nodiscard]] bool unframed() const { return unframed_; }

    [[nodiscard]] core::instant started() const { return started_; }

private:
    void connect(core::duration timeout);
    void connected(const error_code& error);
    void send();
    void read();
    void received(const error_code& error, std::size_t count);
    bool parse();
    bool matches_request();
    void head_read();
    void complete();
    void end_of_connection(const error_code& error);
    void ended(forwarding::attempt_end end, const std::string& detail);
    [[nodiscard]] bool reusable() const;
    void finish_connection();
    void begin_probes();
    void stop_timers();
    void close();

    upstream_pool& pool_;
    core::endpoint endpoint_;
    std::string echo_field_;
    std::string request_id_;
    std::weak_ptr<attempt_listener> listener_;
    outgoing_message message_; // Until it is sent.
    upstream_connection_ptr connection_;
    std::unique_ptr<answer_parser> parser_;
    std::shared_ptr<lazy_timer> connect_timer_;
    std::shared_ptr<lazy_timer> probe_timer_;
    core::instant started_{};
    std::size_t message_bytes_ = 0; // Of the current message.
    std::size_t skipped_bytes_ = 0; // Of earlier messages, which were not the answer.
    bool head_only_ = false;
    bool reused_ = false; // The connection has carried an earlier request.
    bool sent_ = false;
    bool written_ = false;
    bool write_failed_ = false;
    bool head_seen_ = false;
    bool stale_answer_ = false;   // An answer to an earlier request is being skipped.
    bool surplus_answer_ = false; // One was skipped, and further ones may come.
    bool unframed_ = false;
    bool over_ = false;
};

} // namespace ej::front
