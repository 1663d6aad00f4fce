#pragma once

namespace ej::config {

/// How a submitted change ended.
enum class submission_outcome {
    accepted,        ///< The change is known to have taken effect.
    conflict,        ///< Not made: the object has changed since the operator read it.
    invalid,         ///< Not made: the change failed validation.
    platform_behind, ///< Not made: the platform's service has older data than the fleet.
    unavailable,     ///< Not made: no answer, or too many concurrent submissions.
    unknown          ///< It may have been made: a write had no answer in time.
};

} // namespace ej::config
