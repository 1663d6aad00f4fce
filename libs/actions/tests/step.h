#pragma once

#include <cstddef>
#include <ostream>
#include <vector>

namespace ej::actions::model {

/// What can come next in a history.
enum class operation {
    deliver, ///< Message `a` arrives.
    drop,    ///< Message `a` is lost; its sender learns that no answer comes.
    linger,  ///< As `drop`, but the message may still arrive later.
    submit,  ///< Key `b` goes to host `a`, by turns with another body.
    issue,   ///< Host `a` issues a ticket, which is a further key.
    advance, ///< Time passes.
    crash,   ///< Host `a` starts anew.
    pause,   ///< Host `a` stops; the clocks of one of them stop, too.
    wake,    ///< Host `a` goes on.
    outage,  ///< The store answers nothing until the next `outage`.
    cut,     ///< Host `a` and the store, or its peers, are parted until the next `cut`.
    refuse,  ///< The application does not run the next request, and says so.
    drain    ///< Host `a` takes no new work.
};

inline constexpr std::size_t operation_count = 13;

/// One step of a history; numbers count modulo what is there.
struct step {
    operation what = operation::deliver;
    std::size_t a = 0;
    std::size_t b = 0;

    friend bool operator==(const step&, const step&) = default;
    friend std::ostream& operator<<(std::ostream& out, const step& value)
    {
        return out << '{' << static_cast<int>(value.what) << ',' << value.a << ',' << value.b
                   << '}';
    }
};

using history = std::vector<step>;

} // namespace ej::actions::model
