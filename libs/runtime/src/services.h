#pragma once

#include "endpoint_directory.h"
#include "flight_count.h"
#include "request_ids.h"
#include "workspace_keys.h"

#include <runtime/daemon_settings.h>

#include <concurrency/snapshot.h>
#include <core/class_id.h>
#include <core/work_class.h>
#include <cursor/cursor_codec.h>
#include <http/client.h>
#include <metrics/registry.h>
#include <routing/endpoint_pools.h>

#include <map>
#include <memory>

namespace ej::runtime {

/// What the daemon's requests share. Each member is thread-safe.
struct services {
    explicit services(daemon_settings given, std::shared_ptr<http::client> client);

    using class_map = std::map<core::class_id, core::work_class>;

    const daemon_settings settings;
    const workspace_keys keys;
    const cursor::cursor_codec cursors;
    std::shared_ptr<http::client> calls;
    metrics::registry metrics;
    concurrency::snapshot<class_map> classes;
    endpoint_directory endpoints;
    routing::endpoint_pools pools;
    flight_count flights;
    request_ids ids;
};

} // namespace ej::runtime
