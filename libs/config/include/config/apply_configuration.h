#pragma once

#include <config/configuration.h>

namespace ej::config {

/// Put `next` in force; its revision is higher than that of any before.
struct apply_configuration {
    configuration next;

    friend bool operator==(const apply_configuration&, const apply_configuration&) = default;
};

} // namespace ej::config
