#include "asio.h"

#include "action_fleet.h"

#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <utility>

namespace ej::runtime {

namespace {

constexpr std::size_t member_count = 2;
const core::service_id application("departures");

actions::bucket_writer_event event_of(actions::bucket_writer_event_kind kind)
{
    actions::bucket_writer_event event;
    event.kind = kind;
    return event;
}

core::work_class departure()
{
    core::work_class work;
    work.name = core::class_id("departure");
    work.service = application;
    work.kind = core::work_kind::non_idempotent;
    return work;
}

actions::owner owner_of(std::size_t number)
{
    return {core::incarnation_id("daemon-" + std::to_string(number)),
            {"127.0.0.1", static_cast<std::uint16_t>(number + 1)}};
}

daemon_settings settings_of(const core::address& where)
{
    daemon_settings settings;
    settings.domain = core::failure_domain_id("recife");
    settings.fleet_secrets = {{{"a secret of the fleet"}}};
    settings.classes = {departure()};
    settings.platform = where;
    return settings;
}

} // namespace

asio::awaitable<actions::bucket_writer_event>
memory_claim_store::read(actions::bucket_number bucket)
{
    const std::scoped_lock lock(mutex_);
    if (outage) {
        co_return event_of(actions::bucket_writer_event_kind::read_failed);
    }
    auto event = event_of(actions::bucket_writer_event_kind::read_answered);
    event.bucket = values_[bucket].first;
    event.revision = values_[bucket].second;
    co_return event;
}

asio::awaitable<actions::bucket_writer_event>
memory_claim_store::write(actions::bucket_number bucket, actions::claim_bucket value,
                          core::revision expected)
{
    const std::scoped_lock lock(mutex_);
    if (outage) {
        co_return event_of(actions::bucket_writer_event_kind::write_failed);
    }
    auto& [stored, revision] = values_[bucket];
    if (revision != expected) {
        co_return event_of(actions::bucket_writer_event_kind::write_refused);
    }
    stored = std::move(value);
    revision = revision.next();
    if (lose_answers > 0) {
        --lose_answers;
        co_return event_of(actions::bucket_writer_event_kind::write_failed);
    }
    auto event = event_of(actions::bucket_writer_event_kind::write_accepted);
    event.revision = revision;
    co_return event;
}

class action_fleet::in_process_forwarder final : public action_forwarder {
public:
    explicit in_process_forwarder(action_fleet& fleet) : fleet_(fleet) {}

    asio::awaitable<actions::action_outcome> forward(actions::owner to, actions::claim_nonce nonce,
                                                     short_call call) override;

private:
    action_fleet& fleet_;
};

struct action_fleet::member {
    member(action_fleet& fleet, std::size_t number)
        : shared(std::make_shared<daemon_context>(
              settings_of(fleet.application_->local()),
              std::make_shared<http::client>(fleet.context_.get_executor()))),
          claims(std::make_shared<claim_driver>(fleet.context_.get_executor(), fleet.store,
                                                actions::claim_limits{})),
          driver(std::make_shared<action_driver>(fleet.context_.get_executor(), shared,
                                                 owner_of(number), claims,
                                                 std::make_shared<in_process_forwarder>(fleet))),
          runner(std::make_shared<action_runner>(shared, owner_of(number), driver,
                                                 actions::claim_limits{}))
    {
        core::endpoint endpoint;
        endpoint.name = core::endpoint_id("application");
        endpoint.domain = shared->settings.domain;
        endpoint.service = application;
        endpoint.where = fleet.application_->local();
        endpoint.slots = 8;
        shared->endpoints.replace({{endpoint.name, endpoint}});
        shared->pools.add(endpoint, std::chrono::steady_clock::now());
        driver->start();
    }

    std::shared_ptr<daemon_context> shared;
    std::shared_ptr<claim_driver> claims;
    std::shared_ptr<action_driver> driver;
    std::shared_ptr<action_runner> runner;
};

asio::awaitable<actions::action_outcome>
action_fleet::in_process_forwarder::forward(actions::owner to, actions::claim_nonce nonce,
                                            short_call call)
{
    for (std::size_t number = 0; number < member_count; ++number) {
        if (owner_of(number) == to && !fleet_.peers_cut) {
            auto asked =
                asio::co_spawn(asio::make_strand(fleet_.context_),
                               fleet_.members_[number]->runner->outcome_of(std::move(call), nonce),
                               asio::use_awaitable);
            co_return co_await std::move(asked);
        }
    }
    co_return actions::unknown(actions::unknown_reason::owner_unreachable);
}

action_fleet::action_fleet() : work_(asio::make_work_guard(context_))
{
    auto served = http::server::start(
        context_.get_executor(), {"127.0.0.1", 0}, {},
        [this](std::shared_ptr<http::exchange> call) { return serve(std::move(call)); });
    application_ = std::move(served).value();
    for (std::size_t number = 0; number < member_count; ++number) {
        members_.push_back(std::make_unique<member>(*this, number));
        threads_.emplace_back([this] { context_.run(); });
    }
}

action_fleet::~action_fleet()
{
    context_.stop();
    std::ranges::for_each(threads_, &std::thread::join);
}

asio::awaitable<void> action_fleet::serve(std::shared_ptr<http::exchange> call)
{
    http::response answer;
    if (refuse > 0) {
        --refuse;
        answer.status = 503;
        answer.headers = {{"Not-Run", "true"}};
        co_await call->respond(std::move(answer));
        co_return;
    }
    answer.body = std::to_string(++executions);
    if (break_answers) {
        co_await call->start_stream({});
        co_return;
    }
    co_await call->respond(std::move(answer));
}

std::future<http::response> action_fleet::run(std::size_t daemon, const std::string& key,
                                              const std::string& body)
{
    short_call call;
    call.workspace = core::workspace_id("w");
    call.work_class = departure();
    call.key = core::idempotency_key(key);
    call.wanted = {call.work_class.name, "/confirm", body};
    call.deadline = std::chrono::steady_clock::now() + std::chrono::minutes(1);
    return asio::co_spawn(asio::make_strand(context_),
                          members_[daemon]->runner->run(std::move(call)), asio::use_future);
}

std::string action_fleet::ticket(std::size_t daemon)
{
    return members_[daemon]->runner->issue_ticket(core::workspace_id("w"), departure().name);
}

} // namespace ej::runtime
