#pragma once

#include <config/configuration.h>
#include <config/stored_tail.h>
#include <config/submission_outcome.h>

#include <core/findings.h>
#include <core/revision.h>

namespace ej::config {

/// What the submitter of a change is told.
struct submission_result {
    submission_outcome outcome = submission_outcome::unavailable;
    core::revision revision; ///< Accepted: of the change; conflict: of the object as it is.
    core::findings faults;   ///< Set when invalid.
    configuration configuration_seen; ///< The newest one read or made.
    stored_tail stored; ///< The log after an accepted write; key revision 0: not known.
};

} // namespace ej::config
