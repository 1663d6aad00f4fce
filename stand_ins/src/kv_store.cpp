#include "kv_store.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ej::stand_ins {

namespace {

constexpr std::size_t versions_kept = 32; // Bounds memory; also the limit for `rewind`.

void append(kv_entry& entry, kv_version next)
{
    entry.versions.push_back(std::move(next));
    if (entry.versions.size() > versions_kept) {
        entry.versions.erase(entry.versions.begin());
    }
}

} // namespace

kv_version kv_store::read(const std::string& key)
{
    return keys_.with(key, [&](auto& entries) {
        const auto found = entries.find(key);
        return found == entries.end() ? kv_version{} : found->second.current();
    });
}

std::shared_ptr<change_signal> kv_store::changed(const std::string& key)
{
    return keys_.with(key, [&](auto& entries) { return entries[key].changed; });
}

kv_write_result kv_store::write(const std::string& key, kv_version next, std::uint64_t if_revision)
{
    std::shared_ptr<change_signal> changed;
    const auto result = keys_.with(key, [&](auto& entries) {
        kv_entry& entry = entries[key];
        const kv_version before = entry.current();
        const std::uint64_t seen = before.absent ? 0 : before.revision;
        if (seen != if_revision) {
            return kv_write_result{false, seen};
        }
        next.revision = ++revision_;
        append(entry, next);
        changed = entry.changed;
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
    keys_.for_each_shard([&](const auto& entries) {
        for (const auto& [key, entry] : entries) {
            if (key.starts_with(prefix) && !entry.current().absent) {
                found.emplace(key, entry.current());
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
    keys_.for_each_shard([&](auto& entries) {
        for (auto& [key, entry] : entries) {
            const auto newer = [&](const kv_version& version) {
                return version.revision > revision;
            };
            if (std::erase_if(entry.versions, newer) > 0) {
                changed.push_back(entry.changed);
            }
        }
    });
    std::ranges::for_each(changed, [](const auto& signal) { signal->notify(); });
}

} // namespace ej::stand_ins
