#pragma once

#include <core/address.h>
#include <core/attempt_number.h>
#include <core/class_id.h>
#include <core/endpoint_id.h>
#include <core/request_id.h>
#include <core/workspace_id.h>

#include <compare>

namespace ej::cursor {

/// Where an attempt of a request runs, and for which workspace.
struct attempt_location {
    core::workspace_id workspace;
    core::request_id request;
    core::class_id work_class;
    core::attempt_number attempt;
    core::endpoint_id endpoint;
    core::address where;

    friend auto operator<=>(const attempt_location&, const attempt_location&) = default;
};

} // namespace ej::cursor
