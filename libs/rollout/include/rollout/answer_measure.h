#pragma once

namespace ej::rollout {

/// What is measured of an answer.
enum class answer_measure {
    first_output, ///< Time to the first event of a stream.
    whole,        ///< Time to the end of a successful answer, or at least so long.
    failure       ///< The endpoint sent a failure, or bytes that are no answer.
};

} // namespace ej::rollout
