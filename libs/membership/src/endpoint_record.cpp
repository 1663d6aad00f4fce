#include <membership/endpoint_record.h>

#include <membership/merge.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace ej::membership {

std::optional<endpoint_entry> endpoint_record::merge_entry(const endpoint_entry& received,
                                                           core::instant now)
{
    const auto known = find(received.endpoint.incarnation);
    return replace(known ? merge(*known, received) : received, now);
}

std::optional<endpoint_entry> endpoint_record::list(const listed_endpoint& listed,
                                                    core::instant now)
{
    listed_ = true;
    unlisted_.reset();
    auto next = find(listed.endpoint.incarnation)
                    .value_or(endpoint_entry{listed.endpoint, generation(1), false, false});
    next.leaving = next.leaving || listed.leaving;
    return replace(next, now);
}

std::optional<endpoint_entry> endpoint_record::mark_unlisted(core::instant now,
                                                             const endpoint_settings& settings)
{
    if (std::exchange(listed_, false)) {
        unlisted_ = now;
    }
    // An endpoint that was never listed is newer than a lagging list, unless connections to it
    // fail.
    const auto* const current = present();
    if (current == nullptr || (!unlisted_ && health_.failures == 0)) {
        return std::nullopt;
    }
    const auto silent_since = std::max(health_.last_contact, unlisted_.value_or(changed_));
    if (now - silent_since < settings.gone_after) {
        return std::nullopt;
    }
    auto next = *current;
    next.gone = true;
    return replace(next, now);
}

std::optional<endpoint_entry> endpoint_record::report(const endpoint_report& answer,
                                                      core::instant now,
                                                      const endpoint_settings& settings)
{
    if (entries_.empty()) {
        return std::nullopt;
    }
    const auto known = find(answer.incarnation);
    const bool stale = now - answer.requested_at > settings.max_report_age;
    if (stale && !known) {
        return std::nullopt;
    }
    auto next = known.value_or(entries_.front());
    next.leaving = (known && known->leaving) || answer.leaving;
    if (!stale) {
        health_ = after_contact(health_, now);
        const auto* const current = present();
        const bool is_present =
            current != nullptr && current->endpoint.incarnation == answer.incarnation;
        next.observed_generation =
            is_present ? current->observed_generation : entries_.front().observed_generation.next();
        next.gone = false;
        next.endpoint.incarnation = answer.incarnation;
    }
    return replace(next, now);
}

std::optional<endpoint_entry> endpoint_record::mark_leaving(const core::incarnation_id& incarnation,
                                                            core::instant now)
{
    const auto known = find(incarnation);
    if (!known) {
        return std::nullopt;
    }
    auto next = *known;
    next.leaving = true;
    return replace(next, now);
}

void endpoint_record::fail(core::instant now, const endpoint_settings& settings)
{
    health_ = after_failure(health_, now, settings);
}

bool endpoint_record::remove_expired(core::instant now, const endpoint_settings& settings)
{
    if (now - changed_ < settings.forget_after) {
        return false;
    }
    if (present() == nullptr) {
        entries_.clear();
    }
    else {
        entries_.resize(1);
    }
    return entries_.empty();
}

const endpoint_entry* endpoint_record::present() const
{
    return entries_.empty() || entries_.front().gone ? nullptr : &entries_.front();
}

const endpoint_entry* endpoint_record::usable(core::instant now) const
{
    const auto* const current = present();
    return current == nullptr || current->leaving || now < health_.retry_at ? nullptr : current;
}

std::optional<endpoint_entry> endpoint_record::replace(const endpoint_entry& next,
                                                       core::instant now)
{
    const auto place =
        std::ranges::find(entries_, next.endpoint.incarnation,
                          [](const auto& entry) { return entry.endpoint.incarnation; });
    if (place != entries_.end() && *place == next) {
        return std::nullopt;
    }
    if (place == entries_.end()) {
        entries_.push_back(next);
    }
    else {
        *place = next;
    }
    changed_ = now;
    // Ties are broken by the incarnation, so that all daemons agree on the order.
    std::ranges::sort(entries_, std::greater{}, [](const endpoint_entry& entry) {
        return std::pair(entry.observed_generation, entry.endpoint.incarnation);
    });
    return next;
}

std::optional<endpoint_entry> endpoint_record::find(const core::incarnation_id& incarnation) const
{
    const auto place = std::ranges::find(
        entries_, incarnation, [](const auto& entry) { return entry.endpoint.incarnation; });
    return place == entries_.end() ? std::nullopt : std::optional(*place);
}

} // namespace ej::membership
