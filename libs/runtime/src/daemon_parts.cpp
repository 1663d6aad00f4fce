#include "daemon_parts.h"

#include "death_responder.h"
#include "endpoint_adoption.h"
#include "idempotent_runner.h"
#include "member_action_forwarder.h"
#include "member_death_announcer.h"
#include "platform_claim_store.h"
#include <http/pause_for.h>

#include <limits/shares.h>
#include <routing/load_report.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace ej::runtime {

namespace {

constexpr core::duration members_interval = std::chrono::seconds(1);

// A daemon stores nothing between runs, so the wall clock in milliseconds orders the runs on one
// VM.
membership::boot_number boot_now()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
    return membership::boot_number(static_cast<std::uint64_t>(milliseconds.count()));
}

config::follower_settings follower_settings_of(const daemon_settings& settings)
{
    config::follower_settings made;
    made.self = {settings.vm, settings.domain};
    return made;
}

} // namespace

daemon_parts::daemon_parts(daemon_settings settings)
    : threads_(settings.threads), executor_(threads_.executor()),
      shared_(std::make_shared<daemon_context>(std::move(settings),
                                               std::make_shared<http::client>(executor_))),
      platform_(std::make_shared<platform::client>(
          *shared_->calls, platform::client_settings{shared_->settings.platform})),
      members_(executor_, shared_->settings, boot_now(), hooks()),
      poller_(executor_, shared_->settings, members_, *platform_, *shared_->calls, load_handler()),
      config_peers_(members_),
      config_(executor_, shared_, config_peers_, follower_settings_of(shared_->settings),
              shared_->ids.next_seed()),
      claims_(std::make_shared<claim_driver>(
          executor_, std::make_shared<platform_claim_store>(platform_), actions::claim_limits{})),
      actions_(
          std::make_shared<action_driver>(executor_, shared_, self(), claims_,
                                          std::make_shared<member_action_forwarder>(members_))),
      action_runner_(
          std::make_shared<action_runner>(shared_, self(), actions_, actions::claim_limits{})),
      callers_(std::make_shared<caller_api>(shared_,
                                            std::make_shared<short_call_api>(shared_, runners()),
                                            std::make_shared<ticket_api>(shared_, action_runner_))),
      targets_(shared_), operators_(executor_, shared_, config_, shared_->ids.next_seed())
{
    const auto deaths = std::make_shared<member_death_announcer>(members_);
    shared_->deaths = deaths;
    router_.connect({config_.shared_driver(),
                     std::make_shared<action_responder>(executor_, shared_, action_runner_),
                     std::make_shared<death_responder>(shared_, deaths)});
}

daemon_parts::~daemon_parts()
{
    operator_server_.reset();
    threads_.stop();
    threads_.join();
}

member_hooks daemon_parts::hooks()
{
    member_hooks made;
    made.on_endpoints = [this](const std::vector<core::endpoint>& endpoints) {
        adopt_endpoints(*shared_, endpoints);
    };
    made.on_message = [this](const core::vm_id& from, const peer_wire::opaque_message& what) {
        router_.receive(from, what);
    };
    made.on_request = [this](const core::vm_id& from, const peer_wire::opaque_message& what,
                             member_hooks::reply_function reply) {
        router_.receive_request(from, what, std::move(reply));
    };
    made.on_dropped = [this](std::string_view reason) {
        shared_->metrics.count("dropped_messages_total", {{"reason", std::string(reason)}});
    };
    return made;
}

actions::owner daemon_parts::self() const
{
    return {shared_->ids.incarnation(), members_.address()};
}

short_call_api::runner_map daemon_parts::runners() const
{
    return {{core::work_kind::idempotent, std::make_shared<idempotent_runner>(shared_)},
            {core::work_kind::non_idempotent, action_runner_}};
}

member_poller::load_function daemon_parts::load_handler()
{
    return [this](const core::endpoint& endpoint, const wire::load_response& load) {
        const routing::load_report report{endpoint.name, load.slots, load.running, load.waiting,
                                          load.tokens_per_second};
        shared_->pools.report({endpoint.service, endpoint.domain}, report);
        shared_->gate.endpoints_listed();
    };
}

absl::Status daemon_parts::listen()
{
    auto callers = http::server::start(
        executor_, shared_->settings.caller_listen, {},
        [api = callers_](std::shared_ptr<http::exchange> call) -> boost::asio::awaitable<void> {
            co_await api->handle(std::move(call));
        });
    if (!callers.ok()) {
        return callers.status();
    }
    caller_server_ = std::move(callers).value();
    auto operators = operator_api::operator_server::start(
        shared_->settings.operator_listen, operators_, shared_->settings.operator_key);
    if (!operators.ok()) {
        return operators.status();
    }
    operator_server_ = std::move(operators).value();
    return absl::OkStatus();
}

boost::asio::awaitable<void> daemon_parts::update_members()
{
    for (;;) {
        std::vector<config::member> known;
        std::ranges::transform(
            members_.members(), std::back_inserter(known),
            [](const membership::member_entry& one) { return config::member{one.vm, one.domain}; });
        config_.driver().set_members(std::move(known));
        co_await http::pause_for(members_interval);
    }
}

absl::Status daemon_parts::start()
{
    auto listening = listen();
    if (!listening.ok()) {
        return listening;
    }
    poller_.start();
    config_.start();
    actions_->start();
    boost::asio::co_spawn(executor_, update_members(), boost::asio::detached);
    boost::asio::co_spawn(executor_, targets_.run(), boost::asio::detached);
    return absl::OkStatus();
}

} // namespace ej::runtime
