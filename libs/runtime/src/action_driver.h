#pragma once

#include "action_forwarder.h"
#include "claim_driver.h"
#include "daemon_context.h"
#include "open_action.h"
#include "short_call.h"

#include <actions/action_records.h>
#include <actions/arrival_clock.h>
#include <concurrency/sharded.h>
#include <concurrency/snapshot.h>

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <vector>

namespace ej::runtime {

/// Carries out the effects of `action_records`: calls the application, binds claims and forwards to
/// peers. Thread-safe.
class action_driver : public std::enable_shared_from_this<action_driver> {
public:
    action_driver(boost::asio::any_io_executor executor, std::shared_ptr<daemon_context> shared,
                  actions::owner self, std::shared_ptr<claim_driver> claims,
                  std::shared_ptr<action_forwarder> peers);

    /// Starts the timer that bounds the age of arrivals and drops old records.
    void start();

    /// Submits a request; `opened.complete` is called once, with the outcome.
    void submit(const actions::action_id& action, const actions::submission& arrival,
                open_action opened);

    /// Forwards an open request to the daemon `to`, the issuer of its ticket or the owner of its
    /// claim.
    void forward(actions::waiter_id waiter, const actions::owner& to, actions::claim_nonce nonce);

    /// Registers a request that waits for an outcome; this creates no record.
    void open(actions::waiter_id waiter, open_action opened);

    /// Reports that a deadline of a request for `action` has passed.
    void pass_deadline(const actions::action_id& action);

    /// The number of actions without a final outcome.
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
    std::shared_ptr<daemon_context> shared_;
    actions::owner self_;
    std::shared_ptr<claim_driver> claims_;
    std::shared_ptr<action_forwarder> peers_;
    concurrency::snapshot<actions::arrival_clock> clock_;
    actions::action_records records_;
    concurrency::sharded<actions::waiter_id, open_action> open_;
    concurrency::sharded<actions::action_id, call_pointer> running_;
};

} // namespace ej::runtime
