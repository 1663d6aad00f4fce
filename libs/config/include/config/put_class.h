#pragma once

#include <core/work_class.h>

#include <compare>

namespace ej::config {

/// Creates a class of work or replaces all its fields.
struct put_class {
    core::work_class value;

    friend auto operator<=>(const put_class&, const put_class&) = default;
};

} // namespace ej::config
