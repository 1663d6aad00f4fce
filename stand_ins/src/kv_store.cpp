#include "kv_store.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ej::stand_ins {

namespace {

constexpr std::size_t versions_kept = 32; // Bounds memory; `rewind` reaches no further back.

void append(kv_slot& slot, kv_version next)
{
    slot.versions.push_back(std::move(next));
    if (slot.versions.size() > versions_kept) {
        slot.versions.erase(slot.versions.begin());
    }
}

} // namespace

kv_version kv_store::read(const std::string& key)
{
    return keys_.with(key, [&](auto& slots) {
        const auto found = slots.find(key);
        return found == slots.end() ? kv_version{} : found->second.current();
    });
}

std::shared_ptr<change_signal> kv_store::changed(const std::string& key)
{
    return keys_.with(key, [&](auto& slots) { return slots[key].changed; });
}

kv_write_result kv_store::write(const std::string& key, kv_version next, std::uint64_t if_revision)
{
    std::shared_ptr<change_signal> changed;
    const auto result = keys_.with(key, [&](auto& slots) {
        kv_slot& slot = slots[key];
        const kv_version before = slot.current();
        const std::uint64_t seen = before.absent ? 0 : before.revision;
        if (seen != if_revision) {
            return kv_write_result{false, seen};
        }
        next.revision = ++revision_;
        append(slot, next);
        changed = slot.changed;
        return kv_write_result{true, next.revision};
    });
    if (changed) {
        changed->notify();
    }
    return result;
}

std::map<std::string, kv_version> kv_store::list(const std::string& prefix)
{
    std::map<std::string, kv_version> found;
    keys_.for_each_shard([&](const auto& slots) {
        for (const auto& [key, slot] : slots) {
            if (key.starts_with(prefix) && !slot.current().absent) {
                found.emplace(key, slot.current());
            }
        }
    });
    return found;
}

void kv_store::erase_lease(const std::string& lease)
{
    std::vector<std::pair<std::string, std::uint64_t>> owned;
    for (const auto& [key, version] : list("")) {
        if (version.lease == lease) {
            owned.emplace_back(key, version.revision);
        }
    }
    for (const auto& [key, revision] : owned) {
        write(key, kv_version{}, revision);
    }
}

void kv_store::rewind(std::uint64_t revision)
{
    std::vector<std::shared_ptr<change_signal>> changed;
    keys_.for_each_shard([&](auto& slots) {
        for (auto& [key, slot] : slots) {
            const auto newer = [&](const kv_version& version) {
                return version.revision > revision;
            };
            if (std::erase_if(slot.versions, newer) > 0) {
                changed.push_back(slot.changed);
            }
        }
    });
    std::ranges::for_each(changed, [](const auto& signal) { signal->notify(); });
}

} // namespace ej::stand_ins
