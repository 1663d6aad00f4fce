#pragma once

namespace ej::pressure {

/// Which connections are closed first when a limit is exceeded; an earlier value goes first.
enum class close_order {
    finished, ///< Its last answer has been sent.
    waiting,  ///< Waits for its client: for a request, its rest, or the client to read an answer.
    never     ///< Its request is being served.
};

} // namespace ej::pressure
