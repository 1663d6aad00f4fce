#pragma once

#include <generation/event.h>
#include <generation/limits.h>
#include <generation/loss_policy.h>
#include <generation/state.h>
#include <generation/transition.h>

#include <memory>

namespace ej::generation {

/// State machine of a generation. Immutable, without I/O; thread-safe.
///
/// For any order of events: tokens are delivered in order of offset, without repeats, and only from
/// attempts that continue the text already delivered. `finish` is issued only for a complete
/// answer.
class rules {
public:
    rules(std::shared_ptr<const loss_policy> policy, limits bounds);

    /// Returns the initial effects of a generation in state `from`.
    [[nodiscard]] transition begin(const state& from) const;

    /// Returns the transition of `from` on `received`. An ended generation ignores every event.
    [[nodiscard]] transition next(const state& from, const event& received) const;

private:
    using handler = transition (rules::*)(const state&, const event&) const;

    static handler handler_of(event_kind kind);

    [[nodiscard]] transition placed(const state& from, const event& received) const;
    [[nodiscard]] transition no_engine(const state& from, const event& received) const;
    [[nodiscard]] transition rejected(const state& from, const event& received) const;
    [[nodiscard]] transition opened(const state& from, const event& received) const;
    [[nodiscard]] transition tokens(const state& from, const event& received) const;
    [[nodiscard]] transition finished(const state& from, const event& received) const;
    [[nodiscard]] transition aborted(const state& from, const event& received) const;
    [[nodiscard]] transition closed(const state& from, const event& received) const;
    [[nodiscard]] transition silent(const state& from, const event& received) const;
    [[nodiscard]] transition alive(const state& from, const event& received) const;
    [[nodiscard]] transition attempt_not_found(const state& from, const event& received) const;
    [[nodiscard]] transition unreachable(const state& from, const event& received) const;
    [[nodiscard]] transition caller_gone(const state& from, const event& received) const;

    [[nodiscard]] transition deliver(const state& from, const event& received) const;
    [[nodiscard]] transition reattach(const state& from, cause why) const;
    [[nodiscard]] transition connection_lost(const state& from, cause why) const;
    [[nodiscard]] transition supersede(const state& from, cause why) const;

    std::shared_ptr<const loss_policy> policy_;
    limits limits_;
};

} // namespace ej::generation
