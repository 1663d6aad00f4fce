#include <routing/prefix_affinity.h>

#include <routing/estimate.h>

#include <algorithm>
#include <utility>

namespace ej::routing {

namespace {

// Longest accepted finish at the preferred endpoint, relative to a typical endpoint: a cached
// prefix saves at most about that part of a request's time.
constexpr double cache_finish_tolerance = 1.25;

// Jump consistent hash (Lamping and Veach): few prefixes move when a pool grows by one endpoint.
std::size_t bucket_of(std::uint64_t key, std::size_t buckets)
{
    std::int64_t last = 0;
    std::int64_t next = 0;
    while (next < static_cast<std::int64_t>(buckets)) {
        last = next;
        key = key * 2862933555777941757ULL + 1;
        next = static_cast<std::int64_t>(
            static_cast<double>(last + 1) *
            (static_cast<double>(1LL << 31) / static_cast<double>((key >> 33) + 1)));
    }
    return static_cast<std::size_t>(last);
}

} // namespace

prefix_affinity::prefix_affinity(std::unique_ptr<const router> fallback)
    : fallback_(std::move(fallback))
{
}

std::optional<core::endpoint_id> prefix_affinity::choose(const candidates& from,
                                                         const request_features& request,
                                                         random_stream random,
                                                         core::instant now) const
{
    auto other = fallback_->choose(from, request, random, now);
    if (!other || request.prefix == 0) {
        return other;
    }
    const endpoint_view& preferred = from.all[bucket_of(request.prefix, from.all.size())];
    const bool lost = std::ranges::find(request.lost_at, preferred.name) != request.lost_at.end();
    if (lost || !has_room(preferred, false)) {
        return other;
    }
    // A random endpoint with free capacity represents the pool's typical finish.
    const endpoint_view& typical = from.with_room(random.below(from.open.size()));
    const double bound = cache_finish_tolerance * estimated_finish_seconds(typical, request, now);
    return estimated_finish_seconds(preferred, request, now) <= bound ? preferred.name : *other;
}

} // namespace ej::routing
