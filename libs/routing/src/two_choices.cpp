#include <routing/two_choices.h>

#include <routing/estimate.h>

#include <chrono>

namespace ej::routing {

namespace {

constexpr int max_pairs = 3;

struct choice {
    const endpoint_view* view = nullptr;
    double finish_seconds = 0;
};

choice sample(const candidates& from, const request_features& request, random_stream& random,
              core::instant now)
{
    const endpoint_view& view = from.with_room(random.below(from.open.size()));
    return {&view, estimated_finish_seconds(view, request, now)};
}

choice better(const choice& left, const choice& right)
{
    return right.finish_seconds < left.finish_seconds ? right : left;
}

double seconds_left(const request_features& request, core::instant now)
{
    return std::chrono::duration<double>(request.finish_by - now).count();
}

} // namespace

std::optional<core::endpoint_id> two_choices::choose(const candidates& from,
                                                     const request_features& request,
                                                     random_stream random, core::instant now) const
{
    if (from.open.empty()) {
        return std::nullopt;
    }
    const double left = seconds_left(request, now);
    choice best = sample(from, request, random, now);
    for (int pair = 0; pair < max_pairs; ++pair) {
        best = better(best, sample(from, request, random, now));
        if (best.finish_seconds <= left) {
            break;
        }
        best = better(best, sample(from, request, random, now));
    }
    return best.view->name;
}

} // namespace ej::routing
