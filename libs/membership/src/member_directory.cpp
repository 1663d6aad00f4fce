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
    : name_(self.vm), settings_(settings)
{
    records_.with(
        name_, [&](auto& records) { records.emplace(name_, member_record{std::move(self), {}}); });
}

std::vector<member_entry> member_directory::hear(const std::vector<member_entry>& stated,
                                                 core::instant now)
{
    std::vector<member_entry> changes;
    for (const auto& entry : stated) {
        if (auto change = entry.vm == name_ ? refute(entry, now) : hear_one(entry, now)) {
            changes.push_back(*std::move(change));
        }
    }
    return changes;
}

std::optional<member_entry> member_directory::hear_one(const member_entry& stated,
                                                       core::instant now)
{
    return records_.with(stated.vm, [&](auto& records) -> std::optional<member_entry> {
        const auto [place, added] = records.try_emplace(stated.vm, member_record{stated, now});
        auto& known = place->second;
        auto merged = merge(known.entry, stated);
        if (!added && merged == known.entry) {
            return std::nullopt;
        }
        known = {merged, now};
        return merged;
    });
}

// An older run of this daemon may be remembered with a boot number above this one's, when a clock
// was set back in between; then this run goes on above it.
std::optional<member_entry> member_directory::refute(const member_entry& stated, core::instant now)
{
    return records_.with(name_, [&](auto& records) -> std::optional<member_entry> {
        auto& own = records.at(name_);
        if (stated <= own.entry) {
            return std::nullopt;
        }
        own.entry.boot = std::max(own.entry.boot, stated.boot);
        own.entry.version = std::max(own.entry.version, stated.version).next();
        own.changed = now;
        return own.entry;
    });
}

std::optional<member_entry> member_directory::lose(const core::vm_id& vm, core::instant now)
{
    return records_.with(vm, [&](auto& records) -> std::optional<member_entry> {
        const auto found = records.find(vm);
        if (vm == name_ || found == records.end() || !is_reachable(found->second.entry)) {
            return std::nullopt;
        }
        found->second.entry.state = member_state::suspect;
        found->second.changed = now;
        return found->second.entry;
    });
}

member_entry member_directory::leave(core::instant now)
{
    return records_.with(name_, [&](auto& records) {
        auto& own = records.at(name_);
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
    return records_.with(name_, [&](auto& records) { return records.at(name_).entry; });
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
