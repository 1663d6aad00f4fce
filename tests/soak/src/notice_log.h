#pragma once

#include "call_record.h"
#include "daemon_outage.h"
#include "endpoint_notice.h"

#include <core/instant.h>

#include <cstddef>
#include <string>
#include <vector>

namespace ej::soak {

/// Checks that daemons keep away from endpoints whose answers say that they leave or ask for a
/// pause. Not thread-safe.
class notice_log {
public:
    /// A daemon that restarts forgets what the endpoints told it.
    void add(const daemon_outage& outage) { outages_.push_back(outage); }

    /// The violated guarantees, one line each.
    [[nodiscard]] std::vector<std::string>
    faults(const std::vector<call_record>& calls,
           const std::vector<endpoint_notice>& notices) const;

private:
    /// True if the daemon ran on from `from` until `to`.
    [[nodiscard]] bool ran(std::size_t daemon, core::instant from, core::instant to) const;

    std::vector<daemon_outage> outages_;
};

} // namespace ej::soak
