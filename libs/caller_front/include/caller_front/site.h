#pragma once

#include <caller_front/header_names.h>
#include <caller_front/store_layout.h>

#include <platform/store_protocol.h>

#include <memory>

namespace ej::front {

/// What differs between the platforms that the front runs on.
struct site {
    header_names headers;
    std::shared_ptr<const store_layout> layout;
    std::shared_ptr<const platform::store_protocol> protocol;
};

} // namespace ej::front
