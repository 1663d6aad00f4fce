#pragma once

#include "short_call.h"

#include <actions/action_outcome.h>

#include <functional>
#include <memory>

namespace ej::runtime {

/// A submitted call that waits for its outcome.
struct open_action {
    std::shared_ptr<const short_call> call;
    std::function<void(const actions::action_outcome&)> complete;
};

} // namespace ej::runtime
