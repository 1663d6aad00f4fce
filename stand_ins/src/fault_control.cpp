#include "fault_control.h"

#include "parse_faults.h"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace ej::stand_ins {

namespace {

constexpr int killed_exit_code = 137;

} // namespace

void fault_control::apply(const nlohmann::json& body)
{
    state_.update([&](const faults& before) { return parse_faults(body, before); });
    if (body.value("silent", false)) {
        ++silent_epoch_;
    }
    answers_to_lose_ = body.value("lose_answers", answers_to_lose_.load());
    tokens_until_exit_ = body.value("die_after_tokens", tokens_until_exit_.load());
    exit_requested_ = body.value("die", false);
    changed_.notify();
}

boost::asio::awaitable<void> fault_control::wait_while_frozen()
{
    co_await wait_while_blocked(UINT64_MAX);
}

boost::asio::awaitable<void> fault_control::wait_while_blocked(std::uint64_t opened_epoch)
{
    for (;;) {
        const std::uint64_t seen = changed_.version();
        if (!state_.load()->freeze && opened_epoch >= silent_epoch_) {
            co_return;
        }
        co_await changed_.wait(seen);
    }
}

bool fault_control::lose_answer()
{
    std::int64_t left = answers_to_lose_;
    while (left > 0) {
        if (answers_to_lose_.compare_exchange_weak(left, left - 1)) {
            return true;
        }
    }
    return false;
}

void fault_control::count_sent(std::uint64_t tokens)
{
    const auto count = static_cast<std::int64_t>(tokens);
    if (tokens_until_exit_.fetch_sub(count) <= count) {
        std::_Exit(killed_exit_code);
    }
}

void fault_control::exit_if_crash_prompt(const std::string& input) const
{
    const auto state = state_.load();
    if (!state->crash_on_prompt.empty() &&
        input.find(state->crash_on_prompt) != std::string::npos) {
        std::_Exit(killed_exit_code);
    }
}

void fault_control::exit_if_requested() const
{
    if (exit_requested_) {
        std::_Exit(killed_exit_code);
    }
}

} // namespace ej::stand_ins
