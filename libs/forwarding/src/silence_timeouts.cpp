#include <forwarding/silence_timeouts.h>

namespace ej::forwarding {

namespace {

using std::chrono::milliseconds;

// An engine that sends nothing for this long is probed over a new connection. Events normally
// arrive every 30 to 200 ms, and an engine reads a prompt for up to two seconds before the first.
constexpr milliseconds ask_while_flowing{250};
constexpr milliseconds ask_before_output{500};

// A stream that has started moves to another endpoint after this multiple of the route's longest
// accepted gap; an engine without output is abandoned after this fraction of the target for the
// first output. The default times below apply to routes without targets.
constexpr double gap_multiple = 1.5;
constexpr double target_share = 0.85;
constexpr milliseconds default_gap{2'000};
constexpr milliseconds default_first{5'000};

milliseconds scaled(milliseconds whole, double factor, milliseconds otherwise)
{
    if (whole.count() == 0) {
        return otherwise;
    }
    return milliseconds(static_cast<milliseconds::rep>(double(whole.count()) * factor));
}

} // namespace

silence_timeouts silence_timeouts_for(const route& by, stream_stage stage)
{
    if (stage == stream_stage::reading_prompt) {
        return {ask_before_output, scaled(by.target, target_share, default_first)};
    }
    // An engine that resumes from a copy has little to read before its first event.
    return {stage == stream_stage::streaming ? ask_while_flowing : ask_before_output,
            scaled(by.longest_gap, gap_multiple, default_gap)};
}

} // namespace ej::forwarding
