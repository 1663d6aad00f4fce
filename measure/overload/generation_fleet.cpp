#include "generation_fleet.h"

#include <fairness/arrival_order.h>
#include <fairness/max_min_share.h>
#include <forwarding/backup_choice.h>
#include <forwarding/load_message.h>
#include <overload/look_interval.h>
#include <overload/memory_need.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace ej::measure {

namespace {

using std::chrono::milliseconds;

const core::instant start{std::chrono::hours(1)};
const core::service_id service("llm");
constexpr std::size_t domains = 3;
constexpr milliseconds target{4'500};
constexpr milliseconds longest_pause{700};
constexpr milliseconds deadline{25'000};
constexpr milliseconds message_delay{6};
constexpr milliseconds full_load_interval{1'000};
constexpr milliseconds detection_delay{150};
constexpr milliseconds wave_interval{7'000};
constexpr milliseconds window_length{2'000};
// What a resumed stream still has to read at the engine that keeps its copy.
constexpr std::uint64_t tail_tokens = 100;
constexpr std::array<double, 3> speeds{0.8, 1.0, 1.25};

forwarding::engine_profile profile()
{
    return {engine_model::slots, engine_model::memory_tokens, engine_model::tokens_per_event, true};
}

double in_ms(core::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

generation_fleet::generation_fleet(const load_pattern& pattern, const placement_way& way,
                                   std::uint64_t seed)
    : pattern_(pattern), way_(way), random_(seed), choice_(forwarding::make_choice(way.choice)),
      placement_(overload::make_placement(way.placement))
{
    std::shared_ptr<const fairness::share_policy> order =
        std::make_shared<fairness::max_min_share>();
    if (!way.fair) {
        order = std::make_shared<fairness::arrival_order>();
    }
    for (std::size_t index = 0; index < pattern.engines; ++index) {
        engines_.push_back(std::make_unique<engine_model>(
            events_, speeds.at(index % speeds.size()), [this](std::uint64_t id) { on_event(id); },
            [this](std::uint64_t id) { on_end(id); }));
        core::endpoint made;
        made.name = core::endpoint_id("e" + std::to_string(index));
        made.domain = core::failure_domain_id(std::to_string(index % domains));
        made.where = {"10.0.0." + std::to_string(index), 1};
        made.slots = engine_model::slots;
        endpoints_.push_back(made);
    }
    for (std::size_t index = 0; index < pattern.daemons; ++index) {
        daemons_.push_back(std::make_unique<daemon>());
        daemons_.back()->room =
            std::make_unique<overload::waiting_room>(order, overload::waiting_limits{});
    }
}

generation_figures generation_fleet::run()
{
    events_.run_until(start);
    const auto whole = pattern_.end + deadline;
    figures_.windows.resize(static_cast<std::size_t>(pattern_.end / window_length) + 1);
    arrive();
    for (std::size_t one = 0; one < daemons_.size(); ++one) {
        events_.schedule_after(full_load_interval / daemons_.size() * one,
                               [this, one] { tell_all(one); });
    }
    for (std::size_t wave = 0; wave < pattern_.waves && pattern_.lost > 0; ++wave) {
        events_.schedule_at(start + pattern_.begin + wave_interval * wave,
                            [this] { crash_wave(); });
    }
    events_.run_until(start + whole);
    for (const auto& engine : engines_) {
        figures_.read_in_vain += double(engine->read_again()) / 1'000;
    }
    return std::move(figures_);
}

void generation_fleet::arrive()
{
    const auto at = events_.now() - start;
    if (at >= pattern_.end) {
        return;
    }
    const bool in_burst = at >= pattern_.begin && at < pattern_.begin + pattern_.length;
    const double rate =
        pattern_.rate * double(pattern_.engines) * (in_burst ? pattern_.burst : 1.0);
    const auto gap = std::exponential_distribution<double>(rate)(random_);
    events_.schedule_after(
        std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(gap)),
        [this] { arrive(); });
    std::uniform_real_distribution<double> draw;
    std::normal_distribution<double> prompt(5'200, 1'500);
    std::normal_distribution<double> output(780, 150);
    caller made;
    made.id = ++last_id_;
    made.first = made.arrived = events_.now();
    const bool is_long = draw(random_) < pattern_.long_prompts;
    made.size.prompt_tokens = static_cast<std::uint64_t>(
        std::clamp(prompt(random_), 1'000.0, 9'000.0) * (is_long ? 4 : 1));
    made.output = static_cast<std::uint64_t>(std::clamp(output(random_), 200.0, 1'080.0));
    made.size.output_tokens = 1'080;
    made.daemon = draw(random_) < pattern_.hot ? 0 : random_() % daemons_.size();
    made.gives_up = draw(random_) < pattern_.give_up;
    if (made.gives_up) {
        events_.schedule_after(target / 2, [this, id = made.id] { finish(id, nullptr); });
    }
    else {
        ++figures_.asked;
        ++figures_.windows.at(static_cast<std::size_t>(at / window_length)).asked;
    }
    events_.schedule_after(deadline,
                           [this, id = made.id] { finish(id, &generation_figures::failed); });
    ask(callers_.emplace(made.id, made).first->second);
}

overload::generation_demand generation_fleet::demand_of(const caller& one) const
{
    return {service,
            core::workspace_id(std::to_string(one.id % 10)),
            one.size,
            one.arrived,
            one.arrived + target,
            one.first + deadline,
            one.may_have_run,
            one.waits,
            one.produced > 0};
}

std::vector<forwarding::candidate> generation_fleet::candidates(daemon& by) const
{
    std::vector<forwarding::candidate> found;
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        if (engines_[index]->up()) {
            found.push_back({endpoints_[index], by.stats.of(endpoints_[index]), true});
        }
    }
    return found;
}

void generation_fleet::ask(caller& one)
{
    if (place(one)) {
        return;
    }
    if (!std::exchange(one.waits, true)) {
        daemons_[one.daemon]->room->add(
            {core::request_id(std::to_string(one.id)), demand_of(one), 0});
    }
    look_later(one.daemon);
}

/// False if the generation has to wait.
bool generation_fleet::place(caller& one)
{
    daemon& by = *daemons_[one.daemon];
    const auto engines = candidates(by);
    const auto usage = by.usage.of(service);
    overload::queue_state queue;
    double running = 0;
    for (const auto& engine : engines) {
        running += double(engine.stats.in_flight) + double(engine.stats.others_in_flight);
    }
    if (usage.run_time.count() > 0) {
        queue.ends_per_second = running * 1'000 / in_ms(usage.run_time);
    }
    if (!one.waits) {
        for (const auto& other : daemons_) {
            queue.ahead += other->room->count(service);
        }
        queue.others_first = by.room->count(service) > 0;
    }
    const auto engine_profile = profile();
    const auto step = placement_->place(
        demand_of(one), {engines, engine_profile, *choice_, usage, queue, turn_++, events_.now()});
    if (!step || step->kind == overload::placement_kind::wait) {
        return false;
    }
    if (std::exchange(one.waits, false)) {
        by.room->grant(core::request_id(std::to_string(one.id)));
    }
    if (step->kind == overload::placement_kind::refuse) {
        refuse(one, step->come_back);
        return true;
    }
    const auto chosen =
        std::ranges::find(endpoints_, engines[step->engine].what.name, &core::endpoint::name);
    send(one, static_cast<std::size_t>(chosen - endpoints_.begin()), step->first_output);
    return true;
}

void generation_fleet::send(caller& one, std::size_t engine, core::duration forecast)
{
    daemon& by = *daemons_[one.daemon];
    const auto memory = overload::memory_need(one.size, by.usage.of(service), profile());
    one.engine = engine;
    one.sent = events_.now();
    one.forecast = one.produced == 0 ? forecast : core::duration();
    one.unread = one.size.prompt_tokens;
    one.held = memory;
    ++figures_.sends;
    const bool from_copy = one.copy && *one.copy == engine && engines_[engine]->has_copy(one.id);
    drop_copy(one);
    by.stats.begin(endpoints_[engine].name, one.unread);
    by.stats.hold(endpoints_[engine].name, memory);
    engine_job job{one.id, one.size.prompt_tokens + one.produced, one.size.prompt_tokens,
                   one.output, one.produced};
    if (from_copy) {
        job.unread = tail_tokens;
    }
    else if (one.may_have_run) {
        figures_.read_in_vain += double(job.unread) / 1'000;
    }
    const auto all = candidates(by);
    std::vector<forwarding::candidate> fit;
    const bool admitted = by.copies.admits(all, profile()) || !way_.copies_yield;
    std::ranges::copy_if(all, std::back_inserter(fit), [&](const forwarding::candidate& other) {
        return !way_.copies_yield || overload::copy_gate::has_room(other, memory, profile());
    });
    if (admitted) {
        if (const auto at =
                forwarding::choose_backup(fit, endpoints_[engine], turn_, events_.now())) {
            const auto holder =
                std::ranges::find(endpoints_, fit[*at].what.name, &core::endpoint::name) -
                endpoints_.begin();
            one.copy = static_cast<std::size_t>(holder);
            engines_[*one.copy]->keep_copy(one.id, one.size.prompt_tokens + one.output);
            by.stats.hold(endpoints_[*one.copy].name, memory);
            if (by.copies.places_are_scarce()) {
                tell(one.daemon, *one.copy);
            }
        }
    }
    tell(one.daemon, engine);
    engines_[engine]->submit(job);
}

void generation_fleet::drop_copy(caller& one)
{
    if (one.copy) {
        engines_[*one.copy]->drop_copy(one.id);
        daemons_[one.daemon]->stats.release(endpoints_[*one.copy].name, one.held);
        one.copy.reset();
    }
}

void generation_fleet::release(caller& one)
{
    if (one.sent == core::instant{}) {
        return;
    }
    daemon& by = *daemons_[one.daemon];
    by.stats.end(endpoints_[one.engine].name, std::exchange(one.unread, 0));
    by.stats.release(endpoints_[one.engine].name, one.held);
    one.sent = {};
    tell(one.daemon, one.engine);
    if (!by.room->empty()) {
        look(one.daemon);
    }
}

void generation_fleet::tell(std::size_t from, std::size_t engine)
{
    events_.schedule_after(message_delay, [this, from, engine] {
        apply(from, false, {daemons_[from]->stats.own_share(endpoints_[engine].name)});
    });
}

void generation_fleet::tell_all(std::size_t from)
{
    apply(from, true, daemons_[from]->stats.own_shares());
    events_.schedule_after(full_load_interval, [this, from] { tell_all(from); });
}

void generation_fleet::apply(std::size_t from, bool whole,
                             std::vector<forwarding::load_share> shares)
{
    const forwarding::load_message message{core::vm_id(std::to_string(from)),
                                           1,
                                           ++daemons_[from]->messages,
                                           whole,
                                           std::move(shares),
                                           {}};
    for (std::size_t other = 0; other < daemons_.size(); ++other) {
        if (other != from) {
            daemons_[other]->stats.apply_peer_message(message, events_.now());
        }
    }
}

void generation_fleet::look(std::size_t at)
{
    auto& room = *daemons_[at]->room;
    for (const auto& id : room.due(events_.now())) {
        room.remove(id);
        caller& one = callers_.at(std::stoull(id.text()));
        one.waits = false;
        refuse(one, {});
    }
    while (const auto id = room.next(service, events_.now())) {
        if (!place(callers_.at(std::stoull(id->text())))) {
            break;
        }
    }
}

void generation_fleet::look_later(std::size_t at)
{
    daemon& by = *daemons_[at];
    if (by.room->empty() || std::exchange(by.looking, true)) {
        return;
    }
    events_.schedule_after(overload::look_interval(daemons_.size(), random_()), [this, at] {
        daemons_[at]->looking = false;
        look(at);
        look_later(at);
    });
}

void generation_fleet::refuse(caller& one, core::duration come_back)
{
    ++figures_.refusals;
    if (std::exchange(one.came_back, true)) {
        finish(one.id, &generation_figures::refused);
        return;
    }
    const auto delay = std::max<core::duration>(come_back, milliseconds(200));
    events_.schedule_after(delay + delay / 4 * (random_() % 4) / 4, [this, id = one.id] {
        const auto found = callers_.find(id);
        if (found != callers_.end()) {
            found->second.daemon = random_() % daemons_.size();
            found->second.arrived = events_.now();
            ask(found->second);
        }
    });
}

void generation_fleet::on_event(std::uint64_t id)
{
    const auto found = callers_.find(id);
    if (found == callers_.end()) {
        return;
    }
    caller& one = found->second;
    const auto now = events_.now();
    daemon& by = *daemons_[one.daemon];
    if (one.unread > 0) {
        by.stats.first_output(endpoints_[one.engine].name, std::exchange(one.unread, 0));
        tell(one.daemon, one.engine);
        if (one.forecast.count() > 0) {
            by.usage.record_first_output(service, one.forecast, now - one.sent);
            figures_.forecast_errors.push_back(in_ms(now - one.sent) / in_ms(one.forecast));
        }
    }
    if (one.first_output) {
        one.longest_pause = std::max(one.longest_pause, now - one.last_event);
    }
    one.first_output = one.first_output.value_or(now);
    one.last_event = now;
    one.produced += engine_model::tokens_per_event;
}

void generation_fleet::on_end(std::uint64_t id)
{
    const auto found = callers_.find(id);
    if (found == callers_.end()) {
        return;
    }
    const caller& one = found->second;
    if (!one.may_have_run) {
        daemons_[one.daemon]->usage.record_stream(service, one.size, one.output,
                                                  events_.now() - one.sent);
    }
    const bool on_time =
        *one.first_output - one.first <= target && one.longest_pause <= longest_pause;
    if (on_time && !one.gives_up) {
        ++figures_.windows.at(static_cast<std::size_t>((one.first - start) / window_length))
              .on_time;
    }
    finish(id, on_time ? &generation_figures::on_time : &generation_figures::late);
}

void generation_fleet::finish(std::uint64_t id, double generation_figures::* counter)
{
    const auto found = callers_.find(id);
    if (found == callers_.end()) {
        return;
    }
    caller& one = found->second;
    if (counter != nullptr && !one.gives_up) {
        figures_.*counter += 1;
    }
    if (std::exchange(one.waits, false)) {
        daemons_[one.daemon]->room->remove(core::request_id(std::to_string(id)));
    }
    if (one.sent != core::instant{}) {
        engines_[one.engine]->cancel(id);
    }
    drop_copy(one);
    auto ended = found->second;
    callers_.erase(found);
    release(ended);
}

void generation_fleet::crash_wave()
{
    std::vector<std::size_t> up;
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        if (engines_[index]->up()) {
            up.push_back(index);
        }
    }
    std::ranges::shuffle(up, random_);
    up.resize(static_cast<std::size_t>(double(up.size()) * pattern_.lost));
    std::ranges::for_each(up, [this](std::size_t one) { crash(one); });
}

void generation_fleet::crash(std::size_t engine)
{
    const auto jobs = engines_[engine]->crash();
    events_.schedule_after(detection_delay, [this, jobs] {
        std::ranges::for_each(jobs, [this](const engine_job& one) { lost(one); });
    });
    if (pattern_.back_after.count() > 0) {
        events_.schedule_after(pattern_.back_after,
                               [this, engine] { engines_[engine]->restart(); });
    }
}

void generation_fleet::lost(const engine_job& job)
{
    const auto found = callers_.find(job.id);
    if (found == callers_.end()) {
        return;
    }
    caller& one = found->second;
    one.may_have_run = true;
    const auto holder = one.copy;
    release(one);
    if (one.produced > 0 && holder && engines_[*holder]->up() &&
        engines_[*holder]->has_copy(job.id)) {
        send(one, *holder, {});
        return;
    }
    drop_copy(one);
    ask(one);
}

} // namespace ej::measure
