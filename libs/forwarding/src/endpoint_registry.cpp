#include <forwarding/endpoint_registry.h>

#include <utility>
#include <vector>

namespace ej::forwarding {

namespace {

/// Only the name and incarnation of an endpoint, the key of `drained_`.
core::endpoint identity_of(const core::endpoint& what)
{
    core::endpoint run;
    run.name = what.name;
    run.incarnation = what.incarnation;
    return run;
}

} // namespace

bool endpoint_registry::put(const core::endpoint_id& name, std::optional<endpoint_record> record,
                            core::revision revision)
{
    entry& known = entries_[name];
    if (revision < known.revision) {
        return false;
    }
    if (record && record->leaving) {
        drained_.insert(identity_of(record->what));
    }
    // An entry that returns after an outage counts as changed even if its record is the same.
    const bool changed = known.record != record || known.missing_since.has_value();
    known = entry{std::move(record), revision, std::nullopt};
    return changed;
}

bool endpoint_registry::is_unreadable(const core::endpoint_id& name, core::revision revision) const
{
    const auto found = entries_.find(name);
    return found != entries_.end() && found->second.revision == revision && !found->second.record;
}

bool endpoint_registry::remove(const core::endpoint_id& name, core::revision revision,
                               core::instant now)
{
    const auto found = entries_.find(name);
    if (found == entries_.end() || revision < found->second.revision) {
        return false;
    }
    found->second.revision = revision;
    if (in_grace(now)) {
        found->second.missing_since = now;
        return false;
    }
    entries_.erase(found);
    return true;
}

void endpoint_registry::retain(const std::set<core::endpoint_id>& present, core::revision revision,
                               core::instant now)
{
    std::vector<core::endpoint_id> missing;
    for (const auto& [name, known] : entries_) {
        if (!present.contains(name) && known.revision <= revision && !known.missing_since) {
            missing.push_back(name);
        }
    }
    for (const core::endpoint_id& name : missing) {
        remove(name, revision, now);
    }
}

void endpoint_registry::outage()
{
    store_unavailable_ = true;
}

void endpoint_registry::answered(core::instant now)
{
    if (std::exchange(store_unavailable_, false)) {
        store_returned_at_ = now;
    }
}

bool endpoint_registry::in_grace(core::instant now) const
{
    return store_unavailable_ || (store_returned_at_ && now < *store_returned_at_ + return_grace);
}

bool endpoint_registry::expire(core::instant now)
{
    if (in_grace(now)) {
        return false;
    }
    return std::erase_if(entries_,
                         [](const auto& one) { return one.second.missing_since.has_value(); }) > 0;
}

available_endpoints endpoint_registry::current() const
{
    std::vector<endpoint_record> records;
    for (const auto& [name, known] : entries_) {
        if (known.record && !drained_.contains(identity_of(known.record->what))) {
            records.push_back(*known.record);
        }
    }
    return available_endpoints(std::move(records));
}

} // namespace ej::forwarding
