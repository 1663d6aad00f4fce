#pragma once

#include <core/instant.h>

#include <chrono>

namespace ej::forwarding {

/// Decides what to do beside a query to the store that has no answer yet. A store that was silent
/// may be back without ever answering what was sent to it before: the store is probed at short
/// intervals, and a sign that it is back starts the query again. Not thread-safe.
class query_watchdog {
public:
    /// Time beyond the query's own wait after which a query without an answer counts as hung.
    static constexpr core::duration patience = std::chrono::milliseconds(300);

    /// Time between two probes while a query is hung.
    static constexpr core::duration probe_interval = std::chrono::milliseconds(400);

    /// `draw` in [0, 1) spreads the probes of daemons that lost the store at the same time.
    explicit query_watchdog(double draw);

    /// Records that a query was sent, which the store may hold for `wait`.
    void record_query(core::instant now, core::duration wait);

    /// Records that the query was sent again.
    void record_repeat(core::instant now);

    /// Records that a probe was sent.
    void record_probe(core::instant now);

    /// Records that a probe was answered.
    void record_probe_answer() { probe_answered_ = true; }

    /// Records that another daemon has read newer state from the store.
    void record_newer_state() { newer_state_ = true; }

    /// Records that a query has been answered.
    void record_answer();

    /// Time of the next probe.
    [[nodiscard]] core::instant next_probe() const { return next_probe_; }

    /// Time at which the query is to be sent again; `core::instant::max()` without a sign of life.
    [[nodiscard]] core::instant next_query() const;

private:
    core::duration first_pause_; // From the moment the query counts as hung to the first probe.
    core::duration patience_ = patience; // Grows with each repeat beside an answered probe.
    core::instant hung_at_ = core::instant::max();
    core::instant next_probe_ = core::instant::max();
    bool silent_ = false; // The store has been probed since the last answer.
    bool probe_answered_ = false;
    bool newer_state_ = false;
};

} // namespace ej::forwarding
