#include "vm_list.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace ej::stand_ins {

namespace {

constexpr std::size_t versions_kept = 256;

} // namespace

void vm_list::put(const nlohmann::json& entry, time_point now)
{
    const auto name = entry.at("vm").get<std::string>();
    const std::scoped_lock lock(mutex_);
    entries next = versions_.rbegin()->second;
    const auto before = next.find(name);
    auto merged = before == next.end() ? nlohmann::json{{"state", "live"}}
                                       : nlohmann::json::parse(before->second);
    merged.update(entry);
    next[name] = merged.dump();
    add_version(std::move(next), now);
}

void vm_list::erase(const std::string& name, time_point now)
{
    const std::scoped_lock lock(mutex_);
    entries next = versions_.rbegin()->second;
    next.erase(name);
    add_version(std::move(next), now);
}

nlohmann::json vm_list::at(time_point at) const
{
    auto vms = nlohmann::json::array();
    const std::scoped_lock lock(mutex_);
    const auto after = versions_.upper_bound(at);
    const auto& shown = after == versions_.begin() ? after->second : std::prev(after)->second;
    for (const auto& [name, text] : shown) {
        vms.push_back(nlohmann::json::parse(text));
    }
    return {{"vms", vms}};
}

void vm_list::add_version(entries next, time_point now)
{
    versions_[now] = std::move(next);
    if (versions_.size() > versions_kept) {
        versions_.erase(versions_.begin());
    }
}

} // namespace ej::stand_ins
