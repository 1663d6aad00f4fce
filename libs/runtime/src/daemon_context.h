#pragma once

#include "admission_gate.h"
#include "death_announcer.h"
#include "endpoint_directory.h"
#include "in_flight_counter.h"
#include "request_ids.h"
#include "suspect_tracker.h"
#include "workspace_keys.h"

#include <runtime/daemon_settings.h>

#include <concurrency/snapshot.h>
#include <core/class_id.h>
#include <core/work_class.h>
#include <cursor/cursor_codec.h>
#include <http/client.h>
#include <metrics/registry.h>
#include <retry/class_budgets.h>
#include <routing/endpoint_pools.h>
#include <routing/reachable_domains.h>

#include <map>
#include <memory>

namespace ej::runtime {

/// The state that all requests of a daemon share. All members are thread-safe.
struct daemon_context {
    explicit daemon_context(daemon_settings given, std::shared_ptr<http::client> client);

    using class_map = std::map<core::class_id, core::work_class>;

    const daemon_settings settings;
    const workspace_keys keys;
    const cursor::cursor_codec cursors;
    std::shared_ptr<http::client> calls;
    metrics::registry metrics;
    concurrency::snapshot<class_map> classes;
    endpoint_directory endpoints;
    concurrency::snapshot<routing::reachable_domains>
        reachable_domains; ///< Derived from `endpoints`.
    routing::endpoint_pools pools;
    in_flight_counter in_flight_requests;
    request_ids ids;
    retry::class_budgets budgets;
    admission_gate gate;
    suspect_tracker suspects;
    std::shared_ptr<death_announcer> deaths; ///< Set before the first request; null in tests.
};

} // namespace ej::runtime
