#pragma once

#include "crash_tracker.h"
#include "daemon_context.h"
#include "engine_connection.h"
#include "engine_slot.h"
#include "generation_start.h"
#include "generation_timing.h"
#include "in_flight_guard.h"

#include <generation/loss_policy.h>
#include <generation/rules.h>
#include <http/exchange.h>
#include <routing/endpoint_assignment.h>

#include <boost/asio/awaitable.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace ej::runtime {

/// Runs one generation: sends it to engines and streams their output to the caller. Passes events
/// to `generation::rules` and carries out the effects. Used on the strand of the caller's
/// connection.
class generation_session : public std::enable_shared_from_this<generation_session> {
public:
    generation_session(std::shared_ptr<daemon_context> shared,
                       std::shared_ptr<http::exchange> caller, generation_start start);

    /// Runs until the response is complete or the caller has disconnected.
    boost::asio::awaitable<void> run();

private:
    using optional_event = std::optional<generation::event>;
    using effect_handler =
        boost::asio::awaitable<optional_event> (generation_session::*)(generation::effect);

    static effect_handler handler_of(generation::effect_kind kind);

    boost::asio::awaitable<optional_event> place(generation::effect what);
    boost::asio::awaitable<optional_event> open(generation::effect what);
    boost::asio::awaitable<optional_event> attach(generation::effect what);
    boost::asio::awaitable<optional_event> check(generation::effect what);
    boost::asio::awaitable<optional_event> close(generation::effect what);
    boost::asio::awaitable<optional_event> cancel(generation::effect what);
    boost::asio::awaitable<optional_event> deliver(generation::effect what);
    boost::asio::awaitable<optional_event> finish(generation::effect what);
    boost::asio::awaitable<optional_event> fail(generation::effect what);

    boost::asio::awaitable<void> carry_out_pending();
    boost::asio::awaitable<optional_event> fail_with(std::string kind, std::string reason);
    void apply(const generation::event& what);
    void count(const generation::effect& what);
    void on_caller_gone();
    void release_engine(bool finished);
    void seal_location();
    [[nodiscard]] generation::event make_event(generation::event_kind kind) const;
    [[nodiscard]] wire::engine_position position(const generation::effect& what) const;
    [[nodiscard]] optional_event event_of(const absl::Status& opened) const;
    [[nodiscard]] std::optional<core::endpoint> engine_of(const generation::effect& what) const;

    std::shared_ptr<daemon_context> shared_;
    std::shared_ptr<http::exchange> caller_;
    generation_start start_;
    core::request_id
        wait_id_; ///< Identifies this session at the gate; a request may have two sessions.
    std::shared_ptr<const generation::loss_policy> policy_;
    engine_slot slot_;
    crash_tracker crash_tracker_;
    generation::rules rules_;
    engine_connection connection_;
    generation::state state_;
    std::deque<generation::effect> pending_;
    std::string sealed_place_;
    std::optional<core::endpoint> engine_;
    generation_timing timing_;
    std::optional<admission::refusal> refused_;
    std::uint64_t delivered_here_ = 0;
    bool caller_gone_ = false;
    bool may_have_run_; ///< An engine may have started the request.
};

} // namespace ej::runtime
