#include <forwarding/endpoint_registry.h>

#include <chrono>
#include <utility>
#include <vector>

namespace ej::forwarding {

namespace {

// Short compared with `leaving_endpoints::retention`.
constexpr std::chrono::seconds review_interval{60};

} // namespace

bool endpoint_registry::put(const core::endpoint_id& name, std::optional<endpoint_record> record,
                            core::revision revision)
{
    if (record) {
        note_leaving(*record);
    }
    entry& known = entries_[name];
    if (revision < known.revision) {
        return false;
    }
    // An entry that returns after an outage counts as changed even if its record is the same.
    const bool changed = known.record != record || known.missing_since.has_value();
    known = entry{std::move(record), revision, std::nullopt};
    return changed;
}

// Holds whatever was written before or after.
void endpoint_registry::note_leaving(const endpoint_record& record)
{
    if (record.leaving && names(record.what.service)) {
        directory_.leave({run_of(record.what), leaving_source::registration});
    }
}

bool endpoint_registry::name_services(const std::set<core::service_id>& named, core::instant now)
{
    if (!services_.replace(named, now)) {
        return false;
    }
    for (const auto& [name, known] : entries_) {
        if (known.record) {
            note_leaving(*known.record);
        }
    }
    return true;
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
    const bool forgotten = services_.expire(now);
    if (in_grace(now)) {
        return forgotten;
    }
    return std::erase_if(entries_,
                         [](const auto& one) { return one.second.missing_since.has_value(); }) >
               0 ||
           forgotten;
}

bool endpoint_registry::has(const endpoint_run& run) const
{
    const auto found = entries_.find(run.name);
    return found != entries_.end() && found->second.record &&
           found->second.record->what.incarnation == run.incarnation;
}

// An entry of an unnamed service comes from another writer, or precedes the configuration. Its
// address may be that of an endpoint in use, which it must not replace.
void endpoint_registry::publish() const
{
    std::vector<endpoint_record> records;
    for (const auto& [name, known] : entries_) {
        if (known.record && names(known.record->what.service)) {
            records.push_back(*known.record);
        }
    }
    directory_.publish(std::move(records));
}

bool endpoint_registry::review(core::instant now)
{
    if (now < next_review_) {
        return false;
    }
    next_review_ = now + review_interval;
    directory_.review([this](const endpoint_run& run) { return has(run); }, now);
    return true;
}

} // namespace ej::forwarding
