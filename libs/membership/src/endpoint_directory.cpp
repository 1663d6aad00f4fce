#include <membership/endpoint_directory.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace ej::membership {

namespace {

using change = std::optional<endpoint_entry>;

void append(std::vector<endpoint_entry>& changes, const change& changed)
{
    if (changed) {
        changes.push_back(*changed);
    }
}

} // namespace

endpoint_directory::endpoint_directory(endpoint_settings settings) : settings_(settings) {}

std::vector<endpoint_entry>
endpoint_directory::merge_entries(const std::vector<endpoint_entry>& received, core::instant now)
{
    std::vector<endpoint_entry> changes;
    for (const auto& entry : received) {
        const auto& name = entry.endpoint.name;
        append(changes, records_.with(name, [&](auto& records) {
            return records[name].merge_entry(entry, now);
        }));
    }
    return changes;
}

std::vector<endpoint_entry> endpoint_directory::list(const std::vector<listed_endpoint>& listed,
                                                     core::instant now)
{
    auto changes = mark_others_unlisted(listed, now);
    for (const auto& line : listed) {
        const auto& name = line.endpoint.name;
        append(changes,
               records_.with(name, [&](auto& records) { return records[name].list(line, now); }));
    }
    return changes;
}

std::vector<endpoint_entry>
endpoint_directory::mark_others_unlisted(const std::vector<listed_endpoint>& listed,
                                         core::instant now)
{
    std::set<core::endpoint_id> named;
    std::ranges::transform(listed, std::inserter(named, named.end()),
                           [](const auto& line) { return line.endpoint.name; });
    std::vector<endpoint_entry> changes;
    records_.for_each_shard([&](auto& records) {
        for (auto& [name, record] : records) {
            if (!named.contains(name)) {
                append(changes, record.mark_unlisted(now, settings_));
            }
        }
    });
    return changes;
}

std::optional<endpoint_entry> endpoint_directory::report(const endpoint_report& answer,
                                                         core::instant now)
{
    return records_.with(answer.name, [&](auto& records) -> change {
        const auto found = records.find(answer.name);
        return found == records.end() ? std::nullopt : found->second.report(answer, now, settings_);
    });
}

std::vector<endpoint_entry>
endpoint_directory::mark_leaving(const std::vector<leaving_endpoint>& leaving, core::instant now)
{
    std::vector<endpoint_entry> changes;
    for (const auto& named : leaving) {
        append(changes, records_.with(named.name, [&](auto& records) -> change {
            const auto found = records.find(named.name);
            return found == records.end() ? std::nullopt
                                          : found->second.mark_leaving(named.incarnation, now);
        }));
    }
    return changes;
}

void endpoint_directory::fail(const core::endpoint_id& name, core::instant now)
{
    records_.with(name, [&](auto& records) {
        const auto found = records.find(name);
        if (found != records.end()) {
            found->second.fail(now, settings_);
        }
    });
}

void endpoint_directory::remove_expired(core::instant now)
{
    records_.for_each_shard([&](auto& records) {
        for (auto next = records.begin(); next != records.end();) {
            next =
                next->second.remove_expired(now, settings_) ? records.erase(next) : std::next(next);
        }
    });
}

std::vector<core::endpoint> endpoint_directory::usable(core::instant now)
{
    std::vector<core::endpoint> endpoints;
    records_.for_each_shard([&](const auto& records) {
        for (const auto& [name, record] : records) {
            if (const auto* entry = record.usable(now)) {
                endpoints.push_back(entry->endpoint);
            }
        }
    });
    std::ranges::sort(endpoints);
    return endpoints;
}

std::vector<endpoint_entry> endpoint_directory::present()
{
    std::vector<endpoint_entry> entries;
    for_each_present([&](const endpoint_entry& entry) { entries.push_back(entry); });
    std::ranges::sort(entries);
    return entries;
}

std::vector<endpoint_entry> endpoint_directory::all()
{
    return all_of([](const core::endpoint_id&) { return true; });
}

} // namespace ej::membership
