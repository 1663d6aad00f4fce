#pragma once

#include <config/submission_result.h>

namespace ej::config {

/// Tell the submitter.
struct finish_submission {
    submission_result result;
};

} // namespace ej::config
