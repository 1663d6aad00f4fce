#pragma once

#include <caller_front/header_names.h>
#include <caller_front/store_layout.h>

#include <platform/store_protocol.h>

#include <memory>

namespace ej::front {

/// The platform-specific parts of the daemon: header names, store layout and store protocol.
struct site {
    header_names headers;
    std::shared_ptr<const store_layout> layout;
    std::shared_ptr<const platform::store_protocol> protocol;
};

} // namespace ej::front
