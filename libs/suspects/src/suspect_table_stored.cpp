#include <suspects/suspect_table.h>

#include <suspects/merge.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace ej::suspects {

std::vector<request_evidence> suspect_table::evidence_against(std::size_t min_deaths,
                                                              std::size_t count, core::instant now)
{
    std::vector<std::pair<std::size_t, request_digest>> suspected;
    histories_.for_each_shard([&](const auto& histories) {
        for (const auto& [request, known] : histories) {
            if (known.deaths.size() >= min_deaths && known.expires > now) {
                suspected.emplace_back(known.deaths.size(), request);
            }
        }
    });
    std::ranges::sort(suspected, std::greater());
    suspected.resize(std::min(suspected.size(), count));
    std::vector<request_evidence> found;
    found.reserve(suspected.size());
    for (const auto& [deaths, request] : suspected) {
        request_evidence one{request, {}};
        const auto history = history_of(request, now);
        std::ranges::transform(
            history.deaths, std::back_inserter(one.deaths), [&](const death_id& death) {
                const auto age = std::max<core::duration>(now - death_of(death).seen, {});
                return request_death{death, kind_of(request, death, history), age};
            });
        found.push_back(std::move(one));
    }
    return found;
}

bool suspect_table::restore(const request_evidence& stored, core::instant now)
{
    bool added = false;
    for (const request_death& one : stored.deaths) {
        const auto expires = now - one.age + retention;
        if (expires > now && add_run(stored.request, one, now)) {
            record_suspect(stored.request, one.death, expires, one.kind);
            added = true;
        }
    }
    return added;
}

/// Adds the request to those that ran at a death. Returns false if it is known to have run there:
/// its evidence is known then, or was cleared.
bool suspect_table::add_run(request_digest request, const request_death& at, core::instant now)
{
    return deaths_.with(at.death, [&](auto& deaths) {
        known_death& known = deaths[at.death];
        if (known.record.lists(request)) {
            return false;
        }
        if (known.record.empty()) {
            known.seen = now - at.age;
            known.expires = known.seen + retention;
        }
        death_record run{at.death, {}, {}};
        (at.kind == death_kind::after_output ? run.flowing : run.running).push_back(request);
        known.record.death = at.death;
        known.record = merge(known.record, run);
        return true;
    });
}

} // namespace ej::suspects
