#pragma once

#include <config/submission_result.h>

namespace ej::config {

/// Report `result` to the submitter.
struct finish_submission {
    submission_result result;
};

} // namespace ej::config
