#pragma once

#include <cstddef>
#include <ostream>
#include <vector>

namespace ej::actions::model {

/// Operations of a history.
enum class operation {
    deliver, ///< Message `a` arrives.
    drop,    ///< Message `a` is lost; its sender gets a failure.
    linger,  ///< Like `drop`, but the message may still arrive later.
    submit,  ///< A caller sends key `b` to host `a`, sometimes with another body.
    issue,   ///< Host `a` issues a ticket, which becomes another key.
    advance, ///< Time advances by one of several steps, chosen by `b`.
    crash,   ///< Host `a` restarts with a new incarnation.
    pause,   ///< Host `a` is paused; on one of the hosts, the clocks stop too.
    wake,    ///< Host `a` resumes.
    outage,  ///< The store is unavailable until the next `outage`.
    cut,     ///< Partitions host `a` from the store or its peers until the next `cut`.
    refuse,  ///< The application rejects the next request without running it.
    drain    ///< Host `a` accepts no new work.
};

inline constexpr std::size_t operation_count = 13;

/// One step of a history. Numbers are taken modulo the available count.
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
