#include "evidence_exchange.h"

#include "clock.h"

#include <logging/log.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace ej::front {

namespace {

using suspects::aged_death;

// Daemons asked at a time: some may be down or have just started as well.
constexpr std::size_t asked_at_once = 3;
// The pause after the first query; each further one is twice as long.
constexpr std::chrono::milliseconds query_interval{200};
// What is missed until then, in a partition for instance, comes with the reports that are sent
// unasked.
constexpr std::chrono::seconds query_time{10};

// About 70 bytes each, if one request ran at each endpoint.
constexpr std::size_t deaths_per_report = 16;
// Bounds the answer to a query to eight datagrams.
constexpr std::size_t most_deaths = 128;

/// The part of `all` that begins at `begin`, with at most `deaths_per_report` deaths.
std::vector<aged_death> part_of(const std::vector<aged_death>& all, std::size_t begin)
{
    const auto count = std::min(all.size() - begin, deaths_per_report);
    const auto first = all.begin() + static_cast<std::ptrdiff_t>(begin);
    return {first, first + static_cast<std::ptrdiff_t>(count)};
}

} // namespace

evidence_exchange::evidence_exchange(front_context& context, asio::io_context& loop,
                                     send_function send)
    : context_(context), send_(std::move(send)), timer_(loop),
      asked_(std::hash<std::string>{}(context.settings.vm.text())), repeated_(asked_)
{
}

void evidence_exchange::start()
{
    ask_until_ = now() + query_time;
    ask(query_interval);
}

bool evidence_exchange::is_asking() const
{
    return !informed_ && now() < ask_until_;
}

void evidence_exchange::ask(core::duration pause)
{
    if (!is_asking()) {
        return;
    }
    const auto peers = context_.peers.load();
    for (std::size_t count = std::min(peers->size(), asked_at_once); count > 0; --count) {
        send_(suspects::evidence_query(), (*peers)[asked_++ % peers->size()]);
    }
    // Until the store has been read, there is nobody to ask.
    const auto next = peers->empty() ? pause : 2 * pause;
    timer_.expires_after(pause);
    timer_.async_wait([this, next](const error_code& error) {
        if (!error) {
            ask(next);
        }
    });
}

void evidence_exchange::answer(const core::address& asker)
{
    send_reports(context_.suspects.deaths_against_requests(most_deaths, now()), asker);
}

void evidence_exchange::repeat()
{
    const auto peers = context_.peers.load();
    if (peers->empty()) {
        return;
    }
    const auto deaths = context_.suspects.deaths_against_requests(most_deaths, now());
    if (deaths.empty()) {
        return;
    }
    // The next part begins once this one has been sent to all.
    const auto parts = (deaths.size() + deaths_per_report - 1) / deaths_per_report;
    const auto part = repeated_ / peers->size() % parts;
    const auto& to = (*peers)[repeated_ % peers->size()];
    ++repeated_;
    send_(suspects::evidence_report{!is_asking(), part_of(deaths, part * deaths_per_report)}, to);
}

void evidence_exchange::send_reports(const std::vector<aged_death>& deaths, const core::address& to)
{
    std::size_t begin = 0;
    do {
        send_(suspects::evidence_report{!is_asking(), part_of(deaths, begin)}, to);
        begin += deaths_per_report;
    } while (begin < deaths.size());
}

void evidence_exchange::apply(const suspects::evidence_report& report, const core::address& sender)
{
    std::size_t learnt = 0;
    for (const aged_death& one : report.deaths) {
        if (!context_.suspects.record_death(one.record, now(), one.age).empty()) {
            ++learnt;
        }
        for (const suspects::request_digest request : context_.suspects.cleared_among(one.record)) {
            send_(suspects::cleared_request{request}, sender);
        }
    }
    if (learnt > 0) {
        context_.evidence_changed();
        context_.metrics.count("deaths_handed_on_total", {}, double(learnt));
        logging::log(logging::level::info, "deaths learnt from another daemon",
                     {{"deaths", std::to_string(learnt)}, {"sender", core::to_string(sender)}});
    }
    informed_ = informed_ || report.informed;
}

} // namespace ej::front
