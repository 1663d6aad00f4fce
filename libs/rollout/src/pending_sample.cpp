#include <rollout/pending_sample.h>

#include <rollout/rollout_board.h>

namespace ej::rollout {

void pending_sample::release()
{
    if (auto* const board = std::exchange(board_, nullptr)) {
        board->forget(service_, number_);
    }
}

} // namespace ej::rollout
