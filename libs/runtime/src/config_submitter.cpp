#include "asio.h"

#include "config_submitter.h"

#include <http/pause_for.h>

#include <config/catch_up.h>

#include <utility>

namespace ej::runtime {

namespace {

// Each call to the platform has a deadline of its own; this bounds their sum.
constexpr std::chrono::seconds max_submission_time(8);

template <class T>
config::submission_event read_event(absl::StatusOr<T> answer)
{
    if (!answer.ok()) {
        return config::fetch_failed{};
    }
    return *std::move(answer);
}

} // namespace

config_submitter::config_submitter(config_store& store, config_driver& driver,
                                   config::change_log_limits limits, std::uint64_t seed)
    : store_(store), driver_(driver), limits_(limits), next_seed_(seed)
{
}

asio::awaitable<config::submission_result> config_submitter::submit(config::change wanted)
{
    const config::follower_status status = driver_.status();
    if (!status.ready) {
        return drive(nullptr);
    }
    config::change_submission decision(std::move(wanted), driver_.in_force(), status.newest_known,
                                       {}, next_seed_.fetch_add(1));
    return drive(std::make_unique<submission_run>(
        std::move(decision), std::chrono::steady_clock::now() + max_submission_time));
}

asio::awaitable<config::submission_result>
config_submitter::drive(std::unique_ptr<submission_run> run)
{
    if (!run) {
        co_return config::submission_result{};
    }
    while (run->result() == nullptr) {
        const config::submission_event event = co_await carry_out(run->effect());
        run->advance(event, std::chrono::steady_clock::now());
    }
    const config::submission_result& result = *run->result();
    if (result.outcome == config::submission_outcome::accepted) {
        driver_.on_change_accepted(result.configuration_seen, result.stored);
        co_await compact(result.configuration_seen, result.stored);
    }
    co_return result;
}

asio::awaitable<config::submission_event>
config_submitter::carry_out(const config::submission_effect& effect)
{
    if (const auto* write = std::get_if<config::write_change_log>(&effect)) {
        return write_log(*write);
    }
    if (std::holds_alternative<config::read_snapshot>(effect)) {
        return load_snapshot();
    }
    return read_log(std::get<config::read_change_log>(effect).delay);
}

asio::awaitable<config::submission_event>
config_submitter::write_log(config::write_change_log wanted)
{
    co_return co_await store_.write(std::move(wanted));
}

asio::awaitable<config::submission_event> config_submitter::load_snapshot()
{
    co_return read_event(co_await store_.read_snapshot());
}

asio::awaitable<config::submission_event> config_submitter::read_log(core::duration delay)
{
    if (delay > core::duration::zero()) {
        co_await http::pause_for(delay);
    }
    co_return read_event(co_await store_.read_change_log());
}

asio::awaitable<void> config_submitter::compact(config::configuration seen,
                                                config::stored_change_log stored)
{
    const auto shorter = compacted(stored, limits_);
    // If this fails, the next accepted change tries again.
    if (shorter) {
        config::log_compaction decision(std::move(seen), *shorter);
        (void)co_await run_compaction(std::move(decision));
    }
}

asio::awaitable<bool> config_submitter::restore()
{
    const config::configuration own = driver_.in_force();
    const auto stored = co_await store_.read_change_log();
    const bool newest = own.revision() >= driver_.status().newest_known;
    if (!stored.ok() || !newest || compare(own, stored->log) != config::catch_up_state::older) {
        co_return false;
    }
    config::stored_change_log replacement{stored->key_revision,
                                          {own.revision(), own.history(), {}}};
    config::log_compaction decision(own, std::move(replacement));
    co_return co_await run_compaction(std::move(decision));
}

asio::awaitable<bool> config_submitter::run_compaction(config::log_compaction decision)
{
    config::log_compaction_effect effect = decision.start();
    for (;;) {
        if (const auto* done = std::get_if<config::finish_log_compaction>(&effect)) {
            co_return done->complete;
        }
        if (std::holds_alternative<config::read_snapshot>(effect)) {
            const auto base = co_await store_.read_snapshot();
            if (!base.ok()) {
                co_return false;
            }
            effect = decision.on(*base);
            continue;
        }
        config::write_answered answer;
        if (const auto* base = std::get_if<config::write_snapshot>(&effect)) {
            answer = co_await store_.write(*base);
        }
        else {
            answer = co_await store_.write(std::get<config::write_change_log>(effect));
        }
        effect = decision.on(answer);
    }
}

} // namespace ej::runtime
