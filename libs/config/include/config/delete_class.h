#pragma once

#include <core/class_id.h>

#include <compare>

namespace ej::config {

/// Deletes a class of work.
struct delete_class {
    core::class_id name;

    friend auto operator<=>(const delete_class&, const delete_class&) = default;
};

} // namespace ej::config
