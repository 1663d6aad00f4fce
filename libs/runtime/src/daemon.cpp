#include "asio.h"

#include <runtime/daemon.h>

#include "caller_api.h"
#include "endpoint_watch.h"
#include "idempotent_runner.h"
#include "services.h"

#include <http/server.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>
#include <vector>

namespace ej::runtime {

struct daemon::parts {
    explicit parts(daemon_settings settings)
        : work(asio::make_work_guard(context)),
          shared(std::make_shared<services>(std::move(settings),
                                            std::make_shared<http::client>(executor))),
          callers(std::make_shared<caller_api>(shared,
                                               std::make_shared<short_call_api>(shared, runners())))
    {
    }

    short_call_api::runner_map runners()
    {
        return {{core::work_kind::idempotent, std::make_shared<idempotent_runner>(shared)}};
    }

    ~parts()
    {
        context.stop();
        for (auto& thread : threads) {
            thread.join();
        }
    }
    parts(const parts&) = delete;
    parts& operator=(const parts&) = delete;
    parts(parts&&) = delete;
    parts& operator=(parts&&) = delete;

    absl::Status start()
    {
        auto started = http::server::start(
            executor, shared->settings.caller_listen, {},
            [api = callers](std::shared_ptr<http::exchange> call) -> asio::awaitable<void> {
                co_await api->handle(std::move(call));
            });
        if (!started.ok()) {
            return started.status();
        }
        caller_server = std::move(started).value();
        asio::co_spawn(
            executor,
            [state = shared]() -> asio::awaitable<void> { co_await watch_endpoints(state); },
            asio::detached);
        threads.reserve(shared->settings.threads);
        for (std::size_t i = 0; i < shared->settings.threads; ++i) {
            threads.emplace_back([this] { context.run(); });
        }
        return absl::OkStatus();
    }

    asio::io_context context;
    asio::any_io_executor executor{context.get_executor()};
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::shared_ptr<services> shared;
    std::shared_ptr<caller_api> callers;
    std::unique_ptr<http::server> caller_server;
    std::vector<std::thread> threads;
};

daemon::daemon(std::unique_ptr<parts> state) : parts_(std::move(state)) {}

daemon::~daemon() = default;

absl::StatusOr<std::unique_ptr<daemon>> daemon::start(daemon_settings settings)
{
    auto state = std::make_unique<parts>(std::move(settings));
    auto started = state->start();
    if (!started.ok()) {
        return started;
    }
    return std::unique_ptr<daemon>(new daemon(std::move(state)));
}

core::address daemon::caller_address() const
{
    return parts_->caller_server->local();
}

void daemon::drain()
{
    parts_->shared->flights.drain();
}

void daemon::wait_until_drained()
{
    parts_->shared->flights.wait_until_empty();
}

} // namespace ej::runtime
