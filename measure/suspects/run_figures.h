#pragma once

#include <compare>

namespace ej::measure {

/// Result of runs of one history.
struct run_figures {
    int sound_sent = 0;
    int sound_refused = 0;
    int deaths = 0;         ///< Caused by deadly requests.
    int deaths_at_hold = 0; ///< The same, until the first daemon held a deadly part back.
    int late_sends = 0;     ///< Deadly requests sent later than 3 s after a part's fifth death.

    friend auto operator<=>(const run_figures&, const run_figures&) = default;

    run_figures& operator+=(const run_figures& other)
    {
        sound_sent += other.sound_sent;
        sound_refused += other.sound_refused;
        deaths += other.deaths;
        deaths_at_hold += other.deaths_at_hold;
        late_sends += other.late_sends;
        return *this;
    }
};

} // namespace ej::measure
