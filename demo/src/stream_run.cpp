#include "stream_run.h"

#include <harness/generation_caller.h>

#include <stand_ins/token_text.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace ej::demo {

namespace {

using clock = std::chrono::steady_clock;
using harness::stream_state;

constexpr auto stopped = std::numeric_limits<std::uint64_t>::max();

std::chrono::milliseconds since(clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start);
}

} // namespace

stream_run::stream_run(std::string name, harness::generation_call call,
                       std::vector<core::address> daemons)
    : name_(std::move(name)), call_(std::move(call)), daemons_(std::move(daemons)),
      result_(std::async(std::launch::async, [this] { return read(); }))
{
}

void stream_run::wait_for(std::uint64_t tokens) const
{
    for (auto seen = tokens_.load(); seen < tokens; seen = tokens_.load()) {
        tokens_.wait(seen);
    }
}

stream_result stream_run::read()
{
    harness::generation_caller caller(call_);
    stream_result result{name_, false, 0, {}, {}, {}};
    auto last = clock::now();
    auto state = caller.start(daemons_.front());
    std::size_t next_daemon = 1;
    while (state == stream_state::flowing || state == stream_state::broken) {
        if (state == stream_state::broken && next_daemon == daemons_.size()) {
            break;
        }
        state = state == stream_state::broken ? caller.resume(daemons_[next_daemon++])
                                              : caller.read_until(caller.answer().tokens + 1);
        if (caller.answer().tokens > result.tokens) {
            auto& longest = result.tokens == 0 ? result.first_token : result.longest_gap;
            longest = std::max(longest, since(last));
            last = clock::now();
            result.tokens = caller.answer().tokens;
            tokens_ = result.tokens;
            tokens_.notify_all();
        }
    }
    tokens_ = stopped;
    tokens_.notify_all();
    result.complete =
        state == stream_state::ended && caller.answer().misplaced_events == 0 &&
        caller.answer().text == stand_ins::answer_text(call_.prompt, call_.max_tokens);
    result.error = caller.answer().error_kind + ' ' + caller.answer().error_reason;
    return result;
}

} // namespace ej::demo
