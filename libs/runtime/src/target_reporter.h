#pragma once

#include "daemon_context.h"

#include <admission/target_report.h>
#include <core/class_id.h>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>

namespace ej::runtime {

/// Reports once a second whether each class meets its target: as metrics, and in the log when it
/// changes. Used by one coroutine.
class target_reporter {
public:
    explicit target_reporter(std::shared_ptr<daemon_context> shared) : shared_(std::move(shared)) {}

    /// Runs until the executor stops.
    boost::asio::awaitable<void> run();

private:
    void publish(const admission::target_report& report);
    void log_change(const admission::target_report& report);

    std::shared_ptr<daemon_context> shared_;
    std::map<core::class_id, bool> met_;
};

} // namespace ej::runtime
