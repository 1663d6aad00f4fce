#pragma once

#include "call_record.h"
#include "kill_record.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace ej::soak {

/// Records the calls and kills of a run, and checks the calls against the runs that endpoints
/// recorded. Thread-safe.
class call_log {
public:
    void add(const call_record& call);
    void add(const kill_record& kill);

    /// All calls so far.
    [[nodiscard]] std::vector<call_record> calls() const;

    /// The violated guarantees, one line each. `runs` maps a request id to its number of runs.
    [[nodiscard]] std::vector<std::string> faults(const std::map<std::string, int>& runs) const;

    /// The number of calls per outcome, as text.
    [[nodiscard]] std::string summary() const;

private:
    [[nodiscard]] bool killed_during(const call_record& call) const;

    mutable std::mutex mutex_;
    std::vector<call_record> calls_;
    std::vector<kill_record> kills_;
};

} // namespace ej::soak
