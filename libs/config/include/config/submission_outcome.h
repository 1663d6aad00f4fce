#pragma once

namespace ej::config {

/// How a submitted change ended.
enum class submission_outcome {
    accepted,        ///< It is known to have taken effect.
    conflict,        ///< Not made: the object has changed since the operator saw it.
    invalid,         ///< Not made: the change has faults.
    platform_behind, ///< Not made: the platform's service holds older data than the fleet.
    unavailable,     ///< Not made: no answer, or too many others at once.
    unknown          ///< It may have been made; the platform did not say in time.
};

} // namespace ej::config
