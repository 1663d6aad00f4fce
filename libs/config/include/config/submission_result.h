#pragma once

#include <config/configuration.h>
#include <config/stored_change_log.h>
#include <config/submission_outcome.h>

#include <core/findings.h>
#include <core/revision.h>

namespace ej::config {

/// The result of a submission, for its submitter.
struct submission_result {
    submission_outcome outcome = submission_outcome::unavailable;
    core::revision revision;          ///< Accepted: of the change; conflict: of the object now.
    core::findings faults;            ///< Set when invalid.
    configuration configuration_seen; ///< The newest one read or written.
    stored_change_log stored; ///< The log after an accepted write; key revision 0: not known.
};

} // namespace ej::config
