#pragma once

#include "services.h"

#include <admission/target_report.h>
#include <core/class_id.h>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>

namespace ej::runtime {

/// Shows each second whether each class meets its target: as metrics, and as a log line when that
/// changes. Used by one coroutine.
class target_reporter {
public:
    explicit target_reporter(std::shared_ptr<services> shared) : shared_(std::move(shared)) {}

    /// Watches until the executor stops.
    boost::asio::awaitable<void> run();

private:
    void publish(const admission::target_report& report);
    void log_change(const admission::target_report& report);

    std::shared_ptr<services> shared_;
    std::map<core::class_id, bool> met_;
};

} // namespace ej::runtime
