#include <membership/member_directory.h>

#include <membership/merge.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace ej::membership {

namespace {

bool is_reachable(const member_entry& entry)
{
    return entry.state == member_state::alive || entry.state == member_state::leaving;
}

} // namespace

member_directory::member_directory(member_entry self, member_settings settings)
    : self_(self.vm), settings_(settings)
{
    records_.with(
        self_, [&](auto& records) { records.emplace(self_, member_record{std::move(self), {}}); });
}

std::vector<member_entry> member_directory::merge_entries(const std::vector<member_entry>& received,
                                                          core::instant now)
{
    std::vector<member_entry> changes;
    for (const auto& entry : received) {
        if (auto change = entry.vm == self_ ? refute(entry, now) : merge_entry(entry, now)) {
            changes.push_back(*std::move(change));
        }
    }
    return changes;
}

std::optional<member_entry> member_directory::merge_entry(const member_entry& received,
                                                          core::instant now)
{
    return records_.with(received.vm, [&](auto& records) -> std::optional<member_entry> {
        const auto [place, added] = records.try_emplace(received.vm, member_record{received, now});
        auto& known = place->second;
        auto merged = merge(known.entry, received);
        if (!added && merged == known.entry) {
            return std::nullopt;
        }
        known = {merged, now};
        return merged;
    });
}

// Peers may have an entry of an earlier run with a higher boot number, if the clock was set back in
// between; this run then adopts that boot number and raises the version.
std::optional<member_entry> member_directory::refute(const member_entry& received,
                                                     core::instant now)
{
    return records_.with(self_, [&](auto& records) -> std::optional<member_entry> {
        auto& own = records.at(self_);
        if (received <= own.entry) {
            return std::nullopt;
        }
        own.entry.boot = std::max(own.entry.boot, received.boot);
        own.entry.version = std::max(own.entry.version, received.version).next();
        own.changed = now;
        return own.entry;
    });
}

std::optional<member_entry> member_directory::mark_suspect(const core::vm_id& vm, core::instant now)
{
    return records_.with(vm, [&](auto& records) -> std::optional<member_entry> {
        const auto found = records.find(vm);
        if (vm == self_ || found == records.end() || !is_reachable(found->second.entry)) {
            return std::nullopt;
        }
        found->second.entry.state = member_state::suspect;
        found->second.changed = now;
        return found->second.entry;
    });
}

member_entry member_directory::mark_leaving(core::instant now)
{
    return records_.with(self_, [&](auto& records) {
        auto& own = records.at(self_);
        own.entry.version = own.entry.version.next();
        own.entry.state = member_state::leaving;
        own.changed = now;
        return own.entry;
    });
}

std::vector<member_entry> member_directory::expire(core::instant now)
{
    std::vector<member_entry> changes;
    records_.for_each_shard([&](auto& records) {
        std::erase_if(records, [&](const auto& item) {
            return item.second.entry.state == member_state::dead &&
                   now - item.second.changed >= settings_.forget_after;
        });
        for (auto& [vm, record] : records) {
            if (record.entry.state == member_state::suspect &&
                now - record.changed >= settings_.suspect_timeout) {
                record.entry.state = member_state::dead;
                record.changed = now;
                changes.push_back(record.entry);
            }
        }
    });
    return changes;
}

member_entry member_directory::self()
{
    return records_.with(self_, [&](auto& records) { return records.at(self_).entry; });
}

std::vector<member_entry> member_directory::reachable()
{
    auto members = all();
    std::erase_if(members, [](const member_entry& entry) { return !is_reachable(entry); });
    return members;
}

std::vector<member_entry> member_directory::all()
{
    std::vector<member_entry> members;
    records_.for_each_shard([&](const auto& records) {
        std::ranges::transform(records, std::back_inserter(members),
                               [](const auto& item) { return item.second.entry; });
    });
    std::ranges::sort(members);
    return members;
}

} // namespace ej::membership
