#include "asio.h"

#include "config_store.h"

#include <config_wire/store_codec.h>

#include <array>
#include <string>

namespace ej::runtime {

namespace {

constexpr const char* tail_key = "config/tail";
constexpr const char* base_key = "config/base";

absl::StatusOr<config::stored_change_log> tail_of(const platform::kv_entry& entry)
{
    if (entry.revision.value() == 0) {
        return config::stored_change_log{};
    }
    auto log = config_wire::parse_change_log(entry.value);
    if (!log.ok()) {
        return log.status();
    }
    return config::stored_change_log{entry.revision, *std::move(log)};
}

absl::StatusOr<config::stored_snapshot> base_of(const platform::kv_entry& entry)
{
    if (entry.revision.value() == 0) {
        return config::stored_snapshot{};
    }
    auto snapshot = config_wire::parse_configuration(entry.value);
    if (!snapshot.ok()) {
        return snapshot.status();
    }
    return config::stored_snapshot{entry.revision, *std::move(snapshot)};
}

config::write_answered answered(const platform::cas_result& result)
{
    // In the order of platform::cas_outcome.
    static constexpr std::array<config::cas_outcome, 3> outcomes{
        config::cas_outcome::applied, config::cas_outcome::conflict, config::cas_outcome::unknown};
    return {outcomes.at(static_cast<std::size_t>(result.outcome)), result.revision};
}

} // namespace

asio::awaitable<absl::StatusOr<config::stored_change_log>> config_store::read_change_log()
{
    const auto entry = co_await platform_.read(tail_key);
    if (!entry.ok()) {
        co_return entry.status();
    }
    co_return tail_of(*entry);
}

asio::awaitable<absl::StatusOr<std::optional<config::stored_change_log>>>
config_store::watch_change_log(core::revision after, std::chrono::milliseconds wait)
{
    const auto entry = co_await platform_.watch(tail_key, after, wait);
    if (!entry.ok()) {
        co_return entry.status();
    }
    if (!entry->has_value()) {
        co_return std::nullopt;
    }
    auto stored = tail_of(**entry);
    if (!stored.ok()) {
        co_return stored.status();
    }
    co_return std::optional<config::stored_change_log>(*std::move(stored));
}

asio::awaitable<absl::StatusOr<config::stored_snapshot>> config_store::read_snapshot()
{
    const auto entry = co_await platform_.read(base_key);
    if (!entry.ok()) {
        co_return entry.status();
    }
    co_return base_of(*entry);
}

asio::awaitable<config::write_answered> config_store::write(config::write_change_log wanted)
{
    std::string value = config_wire::encode_change_log(wanted.log);
    const auto result =
        co_await platform_.compare_and_swap(tail_key, std::move(value), wanted.if_revision);
    co_return answered(result);
}

asio::awaitable<config::write_answered> config_store::write(config::write_snapshot wanted)
{
    std::string value = config_wire::encode_configuration(wanted.snapshot);
    const auto result =
        co_await platform_.compare_and_swap(base_key, std::move(value), wanted.if_revision);
    co_return answered(result);
}

} // namespace ej::runtime
