#pragma once

#include "front_context.h"
#include "net.h"
#include "peer_message.h"

#include <core/address.h>
#include <core/instant.h>
#include <suspects/evidence_report.h>

#include <cstddef>
#include <functional>
#include <vector>

namespace ej::front {

/// Hands on the evidence against requests that crash endpoints, which a daemon that has just
/// started lacks and a lost datagram may have withheld from any other. A daemon that starts asks a
/// few others until one is informed; each sends a part of its evidence to one other daemon a
/// second, in turn. Used on the loop.
class evidence_exchange {
public:
    /// Sends a message to one daemon.
    using send_function = std::function<void(const peer_message&, const core::address&)>;

    /// `context` and `loop` outlive the object.
    evidence_exchange(front_context& context, asio::io_context& loop, send_function send);

    /// Begins to ask for evidence.
    void start();

    /// Sends a part of the evidence to the next daemon; called each second.
    void repeat();

    /// Answers a query of the daemon at `asker`.
    void answer(const core::address& asker);

    /// Applies a report of the daemon at `sender`, and answers which of its requests have completed
    /// since.
    void apply(const suspects::evidence_report& report, const core::address& sender);

private:
    void ask(core::duration pause);
    [[nodiscard]] bool is_asking() const;
    void send_reports(const std::vector<suspects::aged_death>& deaths, const core::address& to);

    front_context& context_;
    send_function send_;
    asio::steady_timer timer_;
    core::instant ask_until_{};
    bool informed_ = false;
    // Places in the list of daemons, which differ from daemon to daemon at first.
    std::size_t asked_ = 0;
    std::size_t repeated_ = 0;
};

} // namespace ej::front
