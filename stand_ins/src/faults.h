#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace ej::stand_ins {

/// The faults in force.
struct faults {
    bool freeze = false;  ///< Sends no responses and generates no tokens.
    bool outage = false;  ///< Closes each connection without a response.
    bool refuse = false;  ///< Answers 503 with `Not-Run: true`.
    bool leaving = false; ///< Reports `leaving` in `GET /load`.
    bool check_fencing = false;
    bool wrong_offset = false;
    bool other_text = false;
    double slow = 1;             ///< Factor on every processing time; > 0.
    double list_lag_ms = 0;      ///< Age of the VM list that is returned.
    std::string crash_on_prompt; ///< Exits the process on input that contains it; empty: never.

    friend auto operator<=>(const faults&, const faults&) = default;
};

} // namespace ej::stand_ins
