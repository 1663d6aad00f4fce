#include <utility>

#include "asio.h"

#include "generation_wait.h"

#include <algorithm>
#include <chrono>

namespace ej::runtime {

fairness::queued_request queued_request_of(const generation_start& start,
                                           const generation::state& state, core::request_id wait_id,
                                           core::instant began)
{
    const auto& target = start.work_class.target;
    const double left = start.max_tokens - static_cast<double>(state.next.value());
    return {std::move(wait_id),    start.workspace,           std::max(left, 1.0), began,
            began + target.finish, began + target.first_token};
}

// A generation that has begun keeps waiting after its deadline: the caller gets the complete answer
// even when it comes late.
asio::awaitable<admission_result> wait_for_engine(daemon_context& shared,
                                                  core::work_class work_class,
                                                  fairness::queued_request queued, bool begun)
{
    if (!begun) {
        co_return co_await shared.gate.enter(std::move(work_class), std::move(queued));
    }
    queued.start_by = core::instant::max();
    queued.finish_by = std::chrono::steady_clock::now() + work_class.target.finish;
    co_return co_await shared.gate.enter_again(std::move(work_class), std::move(queued), {});
}

} // namespace ej::runtime
