#pragma once

#include <actions/action_event.h>
#include <actions/action_limits.h>
#include <actions/action_state.h>
#include <actions/transition.h>

namespace ej::actions {

/// State machine of an action at its daemon. Guarantees that an action is not sent again once a
/// `send` may have reached the application, and that no action is refused as not run that may still
/// run. Stateless; thread-safe.
class action_rules {
public:
    explicit action_rules(action_limits limits) : limits_(limits) {}

    /// Returns the state and effects after `event`. A resulting `fresh` state needs no record.
    [[nodiscard]] transition apply(const action_state& state, const action_event& event) const;

private:
    struct table;

    [[nodiscard]] transition ignore(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition start(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition join(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition join_claim(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition reclaim(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition repeat_outcome(const action_state& state,
                                            const action_event& event) const;
    [[nodiscard]] transition forward_to_owner(const action_state& state,
                                              const action_event& event) const;
    [[nodiscard]] transition begin_owned(const action_state& state,
                                         const action_event& event) const;
    [[nodiscard]] transition forward_waiters(const action_state& state,
                                             const action_event& event) const;
    [[nodiscard]] transition finish_unknown(const action_state& state,
                                            const action_event& event) const;
    [[nodiscard]] transition give_up_claim(const action_state& state,
                                           const action_event& event) const;
    [[nodiscard]] transition expire_claim(const action_state& state,
                                          const action_event& event) const;
    [[nodiscard]] transition reject(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition send(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition retry(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition expire_unsent(const action_state& state,
                                           const action_event& event) const;
    [[nodiscard]] transition expire_waiters(const action_state& state,
                                            const action_event& event) const;
    [[nodiscard]] transition finish(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition handle_connection_loss(const action_state& state,
                                                    const action_event& event) const;
    [[nodiscard]] transition drop_result(const action_state& state,
                                         const action_event& event) const;

    action_limits limits_;
};

} // namespace ej::actions
