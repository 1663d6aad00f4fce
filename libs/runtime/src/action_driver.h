#pragma once

#include "action_forwarder.h"
#include "claim_driver.h"
#include "open_action.h"
#include "services.h"
#include "short_call.h"

#include <actions/action_records.h>
#include <actions/arrival_clock.h>
#include <concurrency/sharded.h>
#include <concurrency/snapshot.h>

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <vector>

namespace ej::runtime {

/// Carries out the effects of `action_records` on the application, the claims and the peers.
/// Thread-safe.
class action_driver : public std::enable_shared_from_this<action_driver> {
public:
    action_driver(boost::asio::any_io_executor executor, std::shared_ptr<services> shared,
                  actions::owner self, std::shared_ptr<claim_driver> claims,
                  std::shared_ptr<action_forwarder> peers);

    /// Starts the timer that bounds the age of arrivals and drops old records.
    void start();

    /// Hands in a request; `opened.tell` is called once.
    void submit(const actions::action_id& action, const actions::submission& arrival,
                open_action opened);

    /// Passes a request on to the daemon that issued its ticket.
    void forward(actions::waiter_id waiter, const actions::owner& to, actions::claim_nonce nonce);

    /// Registers a request that waits without a record here.
    void open(actions::waiter_id waiter, open_action opened);

    /// Reports that time has passed for `action`.
    void pass_deadline(const actions::action_id& action);

    /// Actions that are not final.
    [[nodiscard]] std::size_t open_count() { return records_.open_count(); }

private:
    using effects = std::vector<actions::action_effect>;
    using handler = void (action_driver::*)(const actions::action_id&,
                                            const actions::action_effect&);
    using call_pointer = std::shared_ptr<const short_call>;

    effects apply(const actions::action_id& action, actions::action_event event);
    void claim(const actions::action_id& action, const actions::action_effect& effect);
    void connect(const actions::action_id& action, const actions::action_effect& effect);
    void send(const actions::action_id& action, const actions::action_effect& effect);
    void pass_on(const actions::action_id& action, const actions::action_effect& effect);
    void answer(const actions::action_id& action, const actions::action_effect& effect);

    void settle_claim(const actions::claim_verdict& verdict);
    call_pointer call_for(const actions::action_id& action, actions::waiter_id source);
    static boost::asio::awaitable<void> attempt(std::shared_ptr<action_driver> self,
                                                actions::action_id action, call_pointer call,
                                                core::attempt_number number);
    boost::asio::awaitable<effects> run_attempt(actions::action_id action, call_pointer call,
                                                core::attempt_number number);
    static boost::asio::awaitable<void> tick(std::shared_ptr<action_driver> self);

    boost::asio::any_io_executor executor_;
    std::shared_ptr<services> shared_;
    actions::owner self_;
    std::shared_ptr<claim_driver> claims_;
    std::shared_ptr<action_forwarder> peers_;
    concurrency::snapshot<actions::arrival_clock> clock_;
    actions::action_records records_;
    concurrency::sharded<actions::waiter_id, open_action> open_;
    concurrency::sharded<actions::action_id, call_pointer> running_;
};

} // namespace ej::runtime
