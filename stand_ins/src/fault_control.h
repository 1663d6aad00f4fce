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

/// Holds the faults in force and the pending one-time faults. Thread-safe.
class fault_control {
public:
    explicit fault_control(faults initial) : state_(std::move(initial)) {}

    /// Applies the faults named in `body`; `die` takes effect in `exit_if_requested`. Throws on a
    /// field of the wrong type.
    void apply(const nlohmann::json& body);

    [[nodiscard]] std::shared_ptr<const faults> current() const { return state_.load(); }

    /// Number of `silent` faults so far; a connection stores the value at which it was opened.
    [[nodiscard]] std::uint64_t silent_epoch() const { return silent_epoch_; }

    /// Waits while the `freeze` fault is in force.
    boost::asio::awaitable<void> wait_while_frozen();

    /// Waits while the `freeze` fault is in force, and forever if a `silent` fault was applied
    /// after `opened_epoch`.
    boost::asio::awaitable<void> wait_while_blocked(std::uint64_t opened_epoch);

    /// True if the current response must be dropped; decrements the number left to drop.
    [[nodiscard]] bool lose_answer();

    /// Counts sent tokens and exits the process when `die_after_tokens` is reached.
    void count_sent(std::uint64_t tokens);

    /// Exits the process if `input` contains `crash_on_prompt`.
    void exit_if_crash_prompt(const std::string& input) const;

    /// Exits the process if the `die` fault was applied.
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
