#pragma once

#include <generation/event.h>
#include <generation/limits.h>
#include <generation/loss_policy.h>
#include <generation/state.h>
#include <generation/transition.h>

#include <memory>

namespace ej::generation {

/// Decides what follows each event of a generation. Immutable and free of I/O; thread-safe.
///
/// Whatever the order of events: tokens are delivered in order of offset, each once, all from
/// attempts that continue the text already delivered; `finish` follows only a whole answer.
class rules {
public:
    rules(std::shared_ptr<const loss_policy> policy, limits bounds);

    /// The effects with which a generation at `from` begins.
    [[nodiscard]] transition begin(const state& from) const;

    /// What follows `received` in `from`. An ended generation ignores every event.
    [[nodiscard]] transition next(const state& from, const event& received) const;

private:
    using handler = transition (rules::*)(const state&, const event&) const;

    static handler handler_of(event_kind kind);

    [[nodiscard]] transition placed(const state& from, const event& received) const;
    [[nodiscard]] transition unplaceable(const state& from, const event& received) const;
    [[nodiscard]] transition rejected(const state& from, const event& received) const;
    [[nodiscard]] transition opened(const state& from, const event& received) const;
    [[nodiscard]] transition tokens(const state& from, const event& received) const;
    [[nodiscard]] transition finished(const state& from, const event& received) const;
    [[nodiscard]] transition aborted(const state& from, const event& received) const;
    [[nodiscard]] transition closed(const state& from, const event& received) const;
    [[nodiscard]] transition silent(const state& from, const event& received) const;
    [[nodiscard]] transition alive(const state& from, const event& received) const;
    [[nodiscard]] transition forgotten(const state& from, const event& received) const;
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
