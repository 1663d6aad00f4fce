#pragma once

#include "call_record.h"
#include "daemon_outage.h"

#include <core/instant.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace ej::soak {

/// Records the crashes of engines on a prompt part and the outages of daemons, and checks that the
/// part is held back while other requests are served. Not thread-safe.
class crash_log {
public:
    void add_crash(core::instant at) { crashes_.push_back(at); }
    void add(const daemon_outage& outage) { outages_.push_back(outage); }

    /// Number of crashes so far.
    [[nodiscard]] std::size_t crashes() const { return crashes_.size(); }

    /// The violated guarantees, one line each. `runs` maps a request id to its number of runs.
    [[nodiscard]] std::vector<std::string> faults(const std::vector<call_record>& calls,
                                                  const std::map<std::string, int>& runs) const;

private:
    /// True if the daemon has run for a while at the moment `at`.
    [[nodiscard]] bool in_touch(std::size_t daemon, core::instant at) const;

    std::vector<core::instant> crashes_; ///< Ascending.
    std::vector<daemon_outage> outages_;
};

} // namespace ej::soak
