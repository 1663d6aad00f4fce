#pragma once

#include <core/class_id.h>
#include <core/service_id.h>
#include <core/work_kind.h>
#include <core/work_target.h>

#include <compare>

namespace ej::core {

/// A class of work: what it runs on, whether it may run again, and its target.
struct work_class {
    class_id name;
    service_id service;
    work_kind kind = work_kind::idempotent;
    work_target target;

    friend auto operator<=>(const work_class&, const work_class&) = default;
};

} // namespace ej::core
