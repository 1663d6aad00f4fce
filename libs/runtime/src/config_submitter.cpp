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
                                   config::tail_limits limits, std::uint64_t seed)
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
    if (const auto* write = std::get_if<config::write_tail>(&effect)) {
        return write_log(*write);
    }
    if (std::holds_alternative<config::read_base>(effect)) {
        return read_snapshot();
    }
    return read_log(std::get<config::read_tail>(effect).delay);
}

asio::awaitable<config::submission_event> config_submitter::write_log(config::write_tail wanted)
{
    co_return co_await store_.write(std::move(wanted));
}

asio::awaitable<config::submission_event> config_submitter::read_snapshot()
{
    co_return read_event(co_await store_.read_base());
}

asio::awaitable<config::submission_event> config_submitter::read_log(core::duration delay)
{
    if (delay > core::duration::zero()) {
        co_await http::pause_for(delay);
    }
    co_return read_event(co_await store_.read_tail());
}

asio::awaitable<void> config_submitter::compact(config::configuration seen,
                                                config::stored_tail stored)
{
    const auto shorter = shortened(stored, limits_);
    // If this fails, the next accepted change tries again.
    if (shorter) {
        config::snapshot_write decision(std::move(seen), *shorter);
        (void)co_await write_snapshot(std::move(decision));
    }
}

asio::awaitable<bool> config_submitter::restore()
{
    const config::configuration own = driver_.in_force();
    const auto stored = co_await store_.read_tail();
    const bool newest = own.revision() >= driver_.status().newest_known;
    if (!stored.ok() || !newest || compare(own, stored->log) != config::catch_up_state::older) {
        co_return false;
    }
    config::stored_tail replacement{stored->key_revision, {own.revision(), own.history(), {}}};
    config::snapshot_write decision(own, std::move(replacement));
    co_return co_await write_snapshot(std::move(decision));
}

asio::awaitable<bool> config_submitter::write_snapshot(config::snapshot_write decision)
{
    config::snapshot_write_effect effect = decision.start();
    for (;;) {
        if (const auto* done = std::get_if<config::finish_snapshot_write>(&effect)) {
            co_return done->complete;
        }
        if (std::holds_alternative<config::read_base>(effect)) {
            const auto base = co_await store_.read_base();
            if (!base.ok()) {
                co_return false;
            }
            effect = decision.on(*base);
            continue;
        }
        config::write_answered answer;
        if (const auto* base = std::get_if<config::write_base>(&effect)) {
            answer = co_await store_.write(*base);
        }
        else {
            answer = co_await store_.write(std::get<config::write_tail>(effect));
        }
        effect = decision.on(answer);
    }
}

} // namespace ej::runtime
