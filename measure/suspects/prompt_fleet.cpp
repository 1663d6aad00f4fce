#include "prompt_fleet.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace ej::measure {

namespace {

using namespace std::chrono_literals;
using suspects::part_digest;

constexpr core::instant begin = core::instant{} + 1h;
constexpr auto span = 34s;
constexpr auto deadly_from = 5s;
constexpr auto deadly_until = 29s;
constexpr auto arrival_gap_ms = 40.0; // Mean.
constexpr auto restart_time = 3s;
constexpr auto shortest_prompt = 600ms;
constexpr int prompt_spread_ms = 800;
constexpr auto message_delay = 5ms;
constexpr auto contact = 3s;
constexpr auto rank_step = 2s;
constexpr int max_attempts = 3;
constexpr std::size_t unsafe_deaths = 5;
constexpr std::uint64_t first_parts = 2;
constexpr std::uint64_t middle_parts = 60;
constexpr std::uint64_t middle_base = 100;
constexpr std::uint64_t deadly_base = 1'000;

} // namespace

prompt_fleet::prompt_fleet(const history& chosen, const approach& how, std::uint64_t seed)
    : chosen_(chosen), how_(how), random_(seed), now_(begin)
{
    std::ranges::generate(tables_, [this] { return make_table(); });
}

std::unique_ptr<suspects::part_table> prompt_fleet::make_table() const
{
    return std::make_unique<suspects::part_table>(how_.make());
}

void prompt_fleet::at(core::instant when, std::function<void()> action)
{
    scheduled_.emplace(when, std::move(action));
}

void prompt_fleet::after(core::duration pause, std::function<void()> action)
{
    at(now_ + pause, std::move(action));
}

run_figures prompt_fleet::run()
{
    schedule_arrivals();
    schedule_faults();
    schedule_kills();
    schedule_reports();
    while (!scheduled_.empty()) {
        const auto next = scheduled_.extract(scheduled_.begin());
        now_ = next.key();
        if (now_ > begin + span) {
            break;
        }
        next.mapped()();
    }
    return figures_;
}

void prompt_fleet::schedule_arrivals()
{
    std::exponential_distribution<double> gap(1 / arrival_gap_ms);
    const auto from = begin + (chosen_.cold ? 0s : deadly_from);
    for (auto when = begin; when < begin + span;) {
        when += std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double, std::milli>(gap(random_)));
        at(when, [this, deadly = when >= from && when < begin + deadly_until] { arrive(deadly); });
    }
}

void prompt_fleet::schedule_faults()
{
    const auto crash_domain = [this](std::size_t domain) {
        for (std::size_t one = 0; one < endpoints_per_domain; ++one) {
            after(std::chrono::milliseconds(random_() % 900),
                  [this, place = domain * endpoints_per_domain + one] { crash(place, false); });
        }
    };
    std::size_t domain = 0;
    if (chosen_.crash_every > 0ms) {
        for (auto when = begin + (chosen_.cold ? 100ms : 6s); when < begin + deadly_until;
             when += chosen_.crash_every) {
            at(when, [crash_domain, domain] { crash_domain(domain % domains); });
            ++domain;
            if (chosen_.crash_once) {
                break;
            }
        }
    }
    if (chosen_.release) {
        for (std::size_t place = 0; place < endpoints; ++place) {
            at(begin + 6s + place * 1500ms, [this, place] { crash(place, false); });
        }
    }
    if (chosen_.cut) {
        at(begin + 12s, [this] {
            for (std::size_t place = 0; place < endpoints; ++place) {
                for (const auto& [number, one] : engines_[place].running) {
                    observe_death(place, engines_[place].incarnation, {0, one.parts, 0, 0});
                }
            }
        });
    }
}

void prompt_fleet::schedule_kills()
{
    if (chosen_.kill_every > 0ms) {
        std::size_t first = 0;
        for (auto when = begin + 7s; when < begin + span; when += chosen_.kill_every) {
            at(when, [this, first] {
                for (std::size_t one = 0; one < daemons / 3; ++one) {
                    restart((first + one) % daemons);
                }
            });
            first += daemons / 3;
        }
    }
    if (chosen_.kill_all) {
        at(begin + 15s, [this] {
            for (std::size_t one = 0; one < daemons; ++one) {
                restart(one);
            }
        });
    }
}

void prompt_fleet::schedule_reports()
{
    for (auto when = begin; when < begin + span; when += 1s) {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            at(when, [this, daemon] { report_held(daemon); });
        }
    }
}

void prompt_fleet::restart(std::size_t daemon)
{
    tables_[daemon] = make_table();
    for (const auto& [part, held] : stored_) {
        tables_[daemon]->apply_held(held, now_);
    }
}

void prompt_fleet::tell_peers(std::size_t from, const std::function<void(std::size_t)>& action)
{
    std::bernoulli_distribution lost(chosen_.lost_datagrams);
    for (std::size_t to = 0; to < daemons; ++to) {
        if (to != from && !lost(random_)) {
            after(message_delay, [action, to] { action(to); });
        }
    }
}

void prompt_fleet::report_held(std::size_t daemon)
{
    for (const suspects::held_part& one : tables_[daemon]->held(now_)) {
        if (one.part.value() % daemons == daemon) {
            stored_[one.part] = one;
        }
        tell_peers(daemon, [this, one](std::size_t to) {
            if (!tables_[to]->apply_held(one, now_)) {
                stored_.erase(one.part);
                tell_peers(to, [this, one](std::size_t other) {
                    tables_[other]->record_output(std::vector{one.part}, now_);
                });
            }
        });
    }
}

void prompt_fleet::arrive(bool deadly_time)
{
    request one;
    one.daemon = random_() % daemons;
    one.parts = {part_digest(1 + random_() % first_parts),
                 part_digest(middle_base + random_() % middle_parts)};
    if (deadly_time && std::bernoulli_distribution(chosen_.deadly_share)(random_)) {
        one.deadly = deadly_base + random_() % static_cast<std::uint64_t>(chosen_.deadly_parts);
        one.parts.emplace_back(one.deadly);
    }
    figures_.sound_sent += one.deadly == 0 ? 1 : 0;
    const auto verdict = tables_[one.daemon]->evaluate(
        one.parts,
        [&](part_digest part) -> core::duration {
            return rank_step * ((one.daemon + daemons - part.value() % daemons) % daemons);
        },
        now_);
    if (verdict.how == suspects::verdict::refuse) {
        figures_.sound_refused += one.deadly == 0 ? 1 : 0;
        return;
    }
    send(std::move(one), verdict.held);
}

bool prompt_fleet::waits_for_isolation(const request& one, std::size_t place)
{
    if (how_.scope == isolation::none) {
        return false;
    }
    return std::ranges::any_of(one.parts, [&](part_digest part) {
        const auto known = tables_[one.daemon]->evidence_of(part, now_ + 1s);
        if (known.unanswered == 0 || known.proven) {
            return false;
        }
        for (std::size_t other = 0; other < endpoints; ++other) {
            const bool counts =
                how_.scope == isolation::fleet || domain_of(other) == domain_of(place);
            const auto runs_part = [&](const auto& entry) {
                return std::ranges::count(entry.second.parts, part) > 0;
            };
            if (counts && std::ranges::any_of(engines_[other].running, runs_part)) {
                return true;
            }
        }
        return false;
    });
}

void prompt_fleet::send(request one, const std::vector<part_digest>& trial_of)
{
    std::vector<std::size_t> up;
    for (std::size_t place = 0; place < endpoints; ++place) {
        if (engines_[place].up) {
            up.push_back(place);
        }
    }
    if (up.empty()) {
        tables_[one.daemon]->return_trial(trial_of, now_);
        return;
    }
    const auto place = up[random_() % up.size()];
    if (trial_of.empty() && waits_for_isolation(one, place)) {
        figures_.sound_refused += one.deadly == 0 ? 1 : 0;
        return;
    }
    if (one.deadly != 0) {
        const auto& deaths = deadly_deaths_[one.deadly];
        const bool late =
            deaths.size() >= unsafe_deaths && now_ > deaths[unsafe_deaths - 1] + contact;
        figures_.late_sends += late ? 1 : 0;
    }
    if (!trial_of.empty()) {
        tables_[one.daemon]->begin_trial(trial_of, now_);
        report_held(one.daemon);
    }
    ++one.attempts;
    const int number = ++requests_;
    const int incarnation = engines_[place].incarnation;
    engines_[place].running.emplace(number, std::move(one));
    after(shortest_prompt + std::chrono::milliseconds(random_() % prompt_spread_ms),
          [this, place, incarnation, number] { begin_output(place, incarnation, number); });
}

void prompt_fleet::begin_output(std::size_t place, int incarnation, int number)
{
    engine& where = engines_[place];
    const auto found = where.running.find(number);
    if (where.incarnation != incarnation || !where.up || found == where.running.end()) {
        return;
    }
    if (found->second.deadly != 0) {
        deadly_deaths_[found->second.deadly].push_back(now_);
        crash(place, true);
        return;
    }
    const request one = std::move(found->second);
    where.running.erase(found);
    record_output(one.daemon, one.parts);
}

void prompt_fleet::record_output(std::size_t daemon, const std::vector<part_digest>& parts)
{
    const auto cleared = tables_[daemon]->record_output(parts, now_);
    if (cleared.empty()) {
        return;
    }
    for (const part_digest part : cleared) {
        stored_.erase(part);
    }
    tell_peers(daemon,
               [this, cleared](std::size_t to) { tables_[to]->record_output(cleared, now_); });
}

void prompt_fleet::crash(std::size_t place, bool by_part)
{
    engine& where = engines_[place];
    if (!where.up) {
        return;
    }
    figures_.deaths += by_part ? 1 : 0;
    where.up = false;
    const int incarnation = where.incarnation++;
    for (auto& [number, lost] : std::exchange(where.running, {})) {
        after(std::chrono::milliseconds(5 + random_() % 150), [this, place, incarnation,
                                                               one = std::move(lost)]() mutable {
            observe_death(place, incarnation, one);
            if (one.attempts < max_attempts && tables_[one.daemon]->allows_resend(one.parts)) {
                send(std::move(one), {});
            }
        });
    }
    after(restart_time, [&where] { where.up = true; });
}

void prompt_fleet::observe_death(std::size_t place, int incarnation, const request& lost)
{
    auto parts = lost.parts;
    std::ranges::sort(parts);
    const suspects::part_death seen{{core::endpoint_id(std::to_string(place)),
                                     core::incarnation_id(std::to_string(incarnation))},
                                    core::failure_domain_id(std::to_string(domain_of(place))),
                                    std::move(parts)};
    record_death(lost.daemon, seen);
    tell_peers(lost.daemon, [this, seen](std::size_t to) { record_death(to, seen); });
}

void prompt_fleet::record_death(std::size_t daemon, const suspects::part_death& seen)
{
    if (!tables_[daemon]->record_death(seen, now_).parts.empty()) {
        after(suspects::part_table::settle_time, [this, daemon] { review(daemon); });
    }
}

std::size_t prompt_fleet::domain_of(std::size_t place) const
{
    return chosen_.one_domain ? 0 : place / endpoints_per_domain;
}

bool prompt_fleet::is_deadly(part_digest part) const
{
    return part.value() >= deadly_base;
}

void prompt_fleet::review(std::size_t daemon)
{
    const auto held = tables_[daemon]->review(now_);
    for (const part_digest part : held) {
        if (is_deadly(part) && std::ranges::count(held_once_, part.value()) == 0) {
            held_once_.push_back(part.value());
            figures_.deaths_at_hold += static_cast<int>(deadly_deaths_[part.value()].size());
        }
    }
    if (!held.empty()) {
        report_held(daemon);
    }
}

} // namespace ej::measure
