#pragma once

#include <utility>

#include "change_signal.h"
#include "faults.h"

#include <concurrency/snapshot.h>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <cstdint>
#include <memory>

namespace ej::stand_ins {

/// Holds the faults in force and the one-time ones that are still due. Thread-safe.
class fault_control {
public:
    explicit fault_control(faults initial) : state_(std::move(initial)) {}

    /// Puts the faults named in `body` in force; `die` only at `exit_if_requested`. Throws on wrong
    /// types.
    void apply(const nlohmann::json& body);

    [[nodiscard]] std::shared_ptr<const faults> current() const { return state_.load(); }

    /// Number of `silent` faults so far; a connection keeps the number at which it was opened.
    [[nodiscard]] std::uint64_t silent_epoch() const { return silent_epoch_; }

    /// Waits while frozen.
    boost::asio::awaitable<void> wait_while_frozen();

    /// Waits while frozen; for good if a `silent` fault came after `opened_epoch`.
    boost::asio::awaitable<void> wait_while_blocked(std::uint64_t opened_epoch);

    /// True if the answer that is due now is to be lost; counts it.
    [[nodiscard]] bool lose_answer();

    /// Counts tokens sent, and ends the process when `die_after_tokens` is reached.
    void count_sent(std::uint64_t tokens);

    /// Ends the process if `crash_on_prompt` is part of `input`.
    void exit_if_crash_prompt(const std::string& input) const;

    /// Ends the process if `die` was asked for.
    void exit_if_requested() const;

private:
    concurrency::snapshot<faults> state_;
    change_signal changed_;
    std::atomic<std::uint64_t> silent_epoch_ = 0;
    std::atomic<std::int64_t> answers_to_lose_ = 0;
    std::atomic<std::int64_t> tokens_until_exit_ = INT64_MAX;
    std::atomic<bool> exit_requested_ = false;
};

} // namespace ej::stand_ins
