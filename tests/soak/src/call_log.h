#pragma once

#include "call_record.h"
#include "kill_record.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace ej::soak {

/// What callers saw, checked against what endpoints ran. Thread-safe.
class call_log {
public:
    void add(const call_record& call);
    void add(const kill_record& kill);

    /// The broken promises, one line each. `runs` counts the runs of each request's id.
    [[nodiscard]] std::vector<std::string> faults(const std::map<std::string, int>& runs) const;

    /// Counts of the calls by outcome, as text.
    [[nodiscard]] std::string summary() const;

private:
    [[nodiscard]] bool killed_during(const call_record& call) const;

    mutable std::mutex mutex_;
    std::vector<call_record> calls_;
    std::vector<kill_record> kills_;
};

} // namespace ej::soak
