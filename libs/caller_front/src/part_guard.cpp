#include "part_guard.h"

#include "clock.h"

#include <logging/log.h>
#include <suspects/independent_deaths_policy.h>
#include <suspects/owner.h>
#include <suspects/trial_pause.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <memory>
#include <string>
#include <utility>

namespace ej::front {

namespace {

using suspects::part_digest;

// The store does not tell how old the evidence is. With this age, a daemon that remembers an output
// of the part does not hold it back because of an old entry.
constexpr std::chrono::minutes age_of_stored{10};

constexpr std::chrono::minutes expiry_interval{1};

// Time by which each member lets those before it go first with a trial: some may get no request
// with the part.
constexpr std::chrono::seconds lead_time{2};

std::string text_of(part_digest part)
{
    return absl::StrCat(absl::Hex(part.value()));
}

std::string text_of(std::span<const part_digest> parts)
{
    std::string text;
    for (const part_digest part : parts) {
        absl::StrAppend(&text, text.empty() ? "" : ",", absl::Hex(part.value()));
    }
    return text;
}

} // namespace

part_guard::part_guard(const core::vm_id& own, metrics::registry& metrics)
    : own_(own), metrics_(metrics),
      table_(std::make_unique<const suspects::independent_deaths_policy>())
{
}

bool part_guard::owns(part_digest part) const
{
    const auto known = members.load();
    return suspects::owner(suspects::request_digest(part.value()), *known) == own_;
}

suspects::part_verdict part_guard::evaluate(std::span<const part_digest> parts)
{
    if (!any_held_) {
        return {};
    }
    const auto delay = [this](part_digest part) -> core::duration {
        const auto known = members.load();
        return lead_time * static_cast<int>(suspects::owner_rank(
                               suspects::request_digest(part.value()), own_, *known));
    };
    return table_.evaluate(parts, delay, now());
}

void part_guard::begin_trial(std::span<const part_digest> held_parts)
{
    table_.begin_trial(held_parts, now());
    logging::log(logging::level::info, "request sent as trial of a held part",
                 {{"part", text_of(held_parts)}});
    metrics_.count("suspect_trials_total", {});
    broadcast(suspects::held_parts{held()});
}

void part_guard::return_trial(std::span<const part_digest> held_parts)
{
    table_.return_trial(held_parts, now());
    metrics_.count("suspect_trials_returned_total", {});
}

bool part_guard::is_admitted(std::span<const part_digest> held_parts)
{
    return table_.is_admitted(held_parts);
}

bool part_guard::holds_any(std::span<const part_digest> parts)
{
    return any_held_ && table_.holds_any(parts);
}

bool part_guard::allows_resend(std::span<const part_digest> parts)
{
    return table_.allows_resend(parts);
}

void part_guard::record_death(const suspects::part_death& seen)
{
    const auto merged = table_.record_death(seen, now());
    if (merged.parts.empty()) {
        return;
    }
    logging::log(logging::level::info, "parts without output where an endpoint died",
                 {{"endpoint", seen.death.endpoint.text()},
                  {"incarnation", seen.death.incarnation.text()},
                  {"domain", seen.domain.text()},
                  {"parts", text_of(seen.parts)}});
    broadcast(merged);
    review_later();
}

void part_guard::apply(const suspects::part_death& seen)
{
    if (!table_.record_death(seen, now()).parts.empty()) {
        review_later();
    }
}

std::vector<part_digest> part_guard::clear(std::span<const part_digest> parts,
                                           std::string_view cause)
{
    std::vector<part_digest> released;
    std::ranges::copy_if(parts, std::back_inserter(released),
                         [this](part_digest part) { return holds_any(std::span(&part, 1)); });
    auto cleared = table_.record_output(parts, now());
    if (!released.empty()) {
        logging::log(logging::level::info, "parts released",
                     {{"parts", text_of(released)}, {"cause", std::string(cause)}});
        update_gauge();
    }
    return cleared;
}

void part_guard::record_output(std::span<const part_digest> parts)
{
    auto cleared = clear(parts, "output");
    if (!cleared.empty()) {
        broadcast(suspects::cleared_parts{std::move(cleared)});
    }
}

void part_guard::apply(const suspects::cleared_parts& told)
{
    static_cast<void>(clear(told.parts, "output at another daemon"));
}

void part_guard::review()
{
    const auto found = table_.review(now());
    if (found.empty()) {
        return;
    }
    for (const part_digest part : found) {
        const auto known = table_.evidence_of(part, now());
        logging::log(logging::level::warn, "part held back",
                     {{"part", text_of(part)},
                      {"source", "deaths"},
                      {"deaths", std::to_string(known.unanswered)},
                      {"independent", std::to_string(known.independent)},
                      {"bursts", std::to_string(known.bursts)},
                      {"had_output", known.proven ? "yes" : "no"}});
    }
    update_gauge();
    broadcast(suspects::held_parts{held()});
}

/// Returns false if this daemon knows of a later output.
bool part_guard::hold(const suspects::held_part& one, std::string_view source)
{
    const bool known = table_.holds_any(std::span(&one.part, 1));
    if (!table_.apply_held(one, now())) {
        return false;
    }
    if (!known) {
        logging::log(logging::level::warn, "part held back",
                     {{"part", text_of(one.part)},
                      {"source", std::string(source)},
                      {"trials", std::to_string(one.trials)}});
        update_gauge();
    }
    return true;
}

void part_guard::apply(const suspects::held_parts& told)
{
    suspects::cleared_parts refuted;
    for (const suspects::held_part& one : told.parts) {
        if (!hold(one, "another daemon")) {
            refuted.parts.push_back(one.part);
        }
    }
    if (!refuted.parts.empty()) {
        broadcast(refuted);
    }
}

void part_guard::apply_stored(part_digest part, std::uint32_t trials)
{
    if (!hold({part, trials, suspects::trial_pause(trials), age_of_stored}, "store")) {
        held_changed(); // The entry is out of date.
    }
}

std::vector<suspects::held_part> part_guard::held()
{
    return any_held_ ? table_.held(now()) : std::vector<suspects::held_part>{};
}

void part_guard::expire(core::instant now)
{
    if (now < next_expiry_) {
        return;
    }
    next_expiry_ = now + expiry_interval;
    table_.expire(now);
    if (any_held_) {
        update_gauge();
    }
}

void part_guard::update_gauge()
{
    {
        // An older count must not replace a newer one.
        const std::scoped_lock lock(count_mutex_);
        const auto count = table_.held(now()).size();
        any_held_ = count > 0;
        metrics_.set("suspects_held", {{"kind", "part"}}, double(count));
    }
    held_changed();
}

} // namespace ej::front
