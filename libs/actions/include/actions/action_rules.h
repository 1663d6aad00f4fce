#pragma once

#include <actions/action_event.h>
#include <actions/action_limits.h>
#include <actions/action_state.h>
#include <actions/transition.h>

namespace ej::actions {

/// Decides how an action goes on at its daemon: no `send` follows one that may have reached the
/// application, and nothing is refused as not run that may run later. Stateless; thread-safe.
class action_rules {
public:
    explicit action_rules(action_limits limits) : limits_(limits) {}

    /// The state and effects that follow `event`. A `fresh` state afterwards needs no record.
    [[nodiscard]] transition apply(const action_state& state, const action_event& event) const;

private:
    struct table;

    [[nodiscard]] transition ignore(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition start(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition join(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition join_claim(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition reclaim(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition repeat(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition pass_on(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition own(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition cede(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition doubt(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition unclaim(const action_state& state, const action_event& event) const;
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
    [[nodiscard]] transition lose(const action_state& state, const action_event& event) const;
    [[nodiscard]] transition drop_result(const action_state& state,
                                         const action_event& event) const;

    action_limits limits_;
};

} // namespace ej::actions
