#include <forwarding/silence_bounds.h>

namespace ej::forwarding {

namespace {

using std::chrono::milliseconds;

// A silent engine is asked by a new connection after this long: events come every 30 to 200 ms, and
// an engine reads a prompt for up to two seconds before the first one.
constexpr milliseconds ask_while_flowing{250};
constexpr milliseconds ask_before_output{500};

// A flowing stream goes on elsewhere after this multiple of the longest gap that users accept, an
// engine without output after this share of the time to the first output; without targets, after
// the times below.
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

silence_bounds bounds_for(const route& by, stream_stage stage)
{
    if (stage == stream_stage::reading) {
        return {ask_before_output, scaled(by.target, target_share, default_first)};
    }
    // An engine that goes on from a copy reads little before its first event.
    return {stage == stream_stage::flowing ? ask_while_flowing : ask_before_output,
            scaled(by.longest_gap, gap_multiple, default_gap)};
}

} // namespace ej::forwarding
