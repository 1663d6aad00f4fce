#include <operator_api/operator_server.h>

#include "free_port.h"
#include "operator_service.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/regex.h>

#include <thread>
#include <utility>

namespace ej::operator_api {

namespace {

constexpr unsigned min_threads = 1;
constexpr unsigned max_threads = 8;
constexpr int bind_attempts = 8;

} // namespace

struct operator_server::impl {
    impl(operator_backend& backend, std::string key)
        : routes(backend, operator_key(std::move(key))), service(routes), server(loop)
    {
        server.minThreads(min_threads);
        server.maxThreads(max_threads);
        server.addService(cxxtools::Regex("."), service);
    }

    ~impl()
    {
        loop.exit();
        if (loop_thread.joinable()) {
            loop_thread.join();
        }
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    absl::Status listen(const core::address& where)
    {
        try {
            server.listen(where.host, where.port);
        }
        catch (const std::exception& error) {
            return absl::UnavailableError(to_string(where) + ": " + error.what());
        }
        local = where;
        return absl::OkStatus();
    }

    // cxxtools does not report the port that the system chose, so a free port is picked first.
    // Retries because another process may take it before it is bound.
    absl::Status listen_on_free_port(const std::string& host)
    {
        absl::Status status;
        for (int attempt = 0; attempt < bind_attempts; ++attempt) {
            status = listen({host, free_port(host)});
            if (status.ok()) {
                break;
            }
        }
        return status;
    }

    operator_routes routes;
    operator_service service;
    cxxtools::EventLoop loop;
    cxxtools::http::Server server;
    core::address local;
    std::thread loop_thread;
};

absl::StatusOr<std::unique_ptr<operator_server>>
operator_server::start(const core::address& listen, operator_backend& backend, std::string key)
{
    auto state = std::make_unique<impl>(backend, std::move(key));
    absl::Status status =
        listen.port == 0 ? state->listen_on_free_port(listen.host) : state->listen(listen);
    if (!status.ok()) {
        return status;
    }
    state->loop_thread = std::thread([loop = &state->loop] { loop->run(); });
    return std::unique_ptr<operator_server>(new operator_server(std::move(state)));
}

operator_server::operator_server(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

operator_server::~operator_server() = default;

core::address operator_server::local() const
{
    return impl_->local;
}

} // namespace ej::operator_api
