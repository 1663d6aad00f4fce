#include "asio.h"

#include "config_driver.h"

#include <config_wire/peer_codec.h>
#include <logging/log.h>

#include <algorithm>

namespace ej::runtime {

namespace {

constexpr std::chrono::milliseconds watch_wait(1500);

core::instant now()
{
    return std::chrono::steady_clock::now();
}

asio::awaitable<absl::StatusOr<std::optional<config::stored_change_log>>>
ask(config_store& store, core::revision after, bool known_absent)
{
    if (after.value() > 0 || known_absent) {
        co_return co_await store.watch_change_log(after, watch_wait);
    }
    // A watch of an absent key blocks until the key appears, so the first call is a read, which
    // returns immediately if the key is absent.
    auto stored = co_await store.read_change_log();
    if (!stored.ok()) {
        co_return stored.status();
    }
    co_return std::optional<config::stored_change_log>(*std::move(stored));
}

} // namespace

config_driver::config_driver(asio::any_io_executor executor, config::follower_settings settings,
                             std::uint64_t seed, config_store& store, config_peers& peers,
                             apply_function apply)
    : executor_(std::move(executor)), store_(store), peers_(peers), apply_(std::move(apply)),
      follower_(std::move(settings), now(), seed)
{
}

void config_driver::start()
{
    asio::co_spawn(executor_, tick(weak_from_this()), asio::detached);
}

void config_driver::set_members(std::vector<config::member> members)
{
    handle(config::members_changed{std::move(members)});
}

absl::Status config_driver::receive(const core::vm_id& from, std::string_view payload)
{
    auto message = config_wire::parse_peer_message(payload);
    if (!message.ok()) {
        return message.status();
    }
    handle(config::peer_message_received{from, *std::move(message)});
    return absl::OkStatus();
}

void config_driver::on_change_accepted(config::configuration made, config::stored_change_log stored)
{
    handle(config::change_accepted{std::move(made), std::move(stored)});
}

config::configuration config_driver::in_force() const
{
    const std::scoped_lock lock(mutex_);
    return follower_.in_force();
}

std::vector<config::member_revision> config_driver::members() const
{
    const std::scoped_lock lock(mutex_);
    return follower_.members().list();
}

config::follower_status config_driver::status() const
{
    const std::scoped_lock lock(mutex_);
    return follower_.status(now());
}

core::instant config_driver::next_wake() const
{
    const std::scoped_lock lock(mutex_);
    return follower_.next_wake();
}

void config_driver::handle(const config::follower_event& event)
{
    std::vector<config::follower_effect> effects;
    {
        const std::scoped_lock lock(mutex_);
        effects = follower_.handle(event, now());
    }
    std::ranges::for_each(effects, [this](const config::follower_effect& effect) {
        std::visit([this](const auto& what) { carry_out(what); }, effect);
    });
}

void config_driver::carry_out(const config::watch_change_log& effect)
{
    asio::co_spawn(executor_, watch(shared_from_this(), effect), asio::detached);
}

void config_driver::carry_out(const config::read_snapshot& /*effect*/)
{
    asio::co_spawn(executor_, fetch_base(shared_from_this()), asio::detached);
}

void config_driver::carry_out(const config::apply_configuration& effect)
{
    apply_(effect.next);
}

void config_driver::carry_out(const config::send_to_peer& effect)
{
    peers_.send(effect.to, config_wire::encode_peer_message(effect.message));
}

asio::awaitable<void> config_driver::tick(std::weak_ptr<config_driver> driver)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;) {
        const std::shared_ptr<config_driver> present = driver.lock();
        if (!present) {
            co_return;
        }
        present->handle(config::tick{});
        timer.expires_at(present->next_wake());
        boost::system::error_code error;
        co_await timer.async_wait(no_throw(error));
    }
}

asio::awaitable<void> config_driver::watch(std::shared_ptr<config_driver> driver,
                                           config::watch_change_log asked)
{
    const bool known_absent = driver->known_absent_;
    auto answer = co_await ask(driver->store_, asked.after, known_absent);
    if (answer.ok()) {
        driver->known_absent_ =
            asked.after.value() == 0 && (!*answer || (**answer).key_revision.value() == 0);
        driver->handle(config::watch_answered{asked.watch_number, *std::move(answer)});
        co_return;
    }
    logging::log(logging::level::warn, "reading the configuration from the platform failed",
                 {{"error", answer.status().ToString()}});
    driver->handle(config::watch_failed{asked.watch_number});
}

asio::awaitable<void> config_driver::fetch_base(std::shared_ptr<config_driver> driver)
{
    auto base = co_await driver->store_.read_snapshot();
    // After a failure the follower reads the log again, and then requests the base again.
    if (base.ok()) {
        driver->handle(*std::move(base));
    }
}

} // namespace ej::runtime
