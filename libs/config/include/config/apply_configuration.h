#pragma once

#include <config/configuration.h>

namespace ej::config {

/// Put `next` in force. Its revision is higher than that of every configuration applied before.
struct apply_configuration {
    configuration next;

    friend bool operator==(const apply_configuration&, const apply_configuration&) = default;
};

} // namespace ej::config
