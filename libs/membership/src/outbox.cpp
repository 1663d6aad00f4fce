#include <membership/outbox.h>

#include <algorithm>
#include <vector>

namespace ej::membership {

namespace {

template <class Map, class Entry>
void move_some(Map& from, std::vector<Entry>& to, std::size_t count)
{
    for (auto next = from.begin(); next != from.end() && to.size() < count;) {
        to.push_back(std::move(next->second));
        next = from.erase(next);
    }
}

} // namespace

void outbox::add(const member_entry& entry)
{
    members_.insert_or_assign(entry.vm, entry);
}

void outbox::add(const endpoint_entry& entry)
{
    endpoints_.insert_or_assign({entry.endpoint.name, entry.endpoint.incarnation}, entry);
}

void outbox::add(const domain_summary& summary)
{
    summaries_.insert_or_assign(summary.domain, summary);
}

delta outbox::take(std::size_t max_entries)
{
    delta taken;
    move_some(members_, taken.members, max_entries);
    move_some(endpoints_, taken.endpoints, max_entries - taken.size());
    move_some(summaries_, taken.summaries, max_entries - taken.size());
    return taken;
}

bool outbox::empty() const
{
    return members_.empty() && endpoints_.empty() && summaries_.empty();
}

} // namespace ej::membership
