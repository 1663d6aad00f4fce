#pragma once

#include "action_driver.h"
#include "short_call_runner.h"

#include <actions/claim_limits.h>
#include <actions/ticket_issuer.h>
#include <actions_wire/ticket_codec.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace ej::runtime {

/// Runs non-idempotent calls at most once. The idempotency key is either a ticket issued by this
/// fleet or the caller's own key, which is bound to an owner by a claim. Thread-safe.
class action_runner final : public short_call_runner {
public:
    /// How long a ticket is valid.
    static constexpr std::chrono::minutes ticket_lifetime{10};

    action_runner(std::shared_ptr<daemon_context> shared, actions::owner self,
                  std::shared_ptr<action_driver> driver, const actions::claim_limits& limits);

    [[nodiscard]] bool accepts_while_draining() const override { return true; }
    boost::asio::awaitable<http::response> run(short_call call) override;

    /// Issues a ticket, the key of one action of class `work`. It can be used at this daemon and at
    /// the daemons that can connect to it.
    [[nodiscard]] std::string issue_ticket(core::workspace_id workspace, core::class_id work);

    /// Runs a call and returns its outcome. `forwarded` is set when a peer forwarded the call, and
    /// holds the claim's nonce as the peer read it (0 for a ticket). Must be awaited on a strand.
    boost::asio::awaitable<actions::action_outcome>
    outcome_of(short_call call, std::optional<actions::claim_nonce> forwarded);

private:
    void submit(const actions::action_id& action, actions::waiter_id waiter, open_action opened,
                std::optional<actions::claim_nonce> forwarded);

    std::shared_ptr<daemon_context> shared_;
    std::shared_ptr<action_driver> driver_;
    actions::ticket_issuer tickets_;
    actions_wire::ticket_codec codec_;
    core::duration retention_;
    core::instant started_;
    std::atomic<std::uint64_t> last_waiter_{0};
};

} // namespace ej::runtime
