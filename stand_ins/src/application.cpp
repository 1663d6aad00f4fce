#include "application.h"

#include "dispatch.h"
#include "json_reply.h"
#include "load_report.h"
#include "pause.h"

#include <nlohmann/json.hpp>

#include <array>

namespace ej::stand_ins {

namespace {

constexpr std::string_view executions_path = "/executions/";

} // namespace

application::application(const boost::asio::any_io_executor& /*executor*/, const options& settings,
                         std::string incarnation, std::shared_ptr<fault_control> control)
    : settings_(settings), incarnation_(std::move(incarnation)), control_(std::move(control)),
      slots_(settings.slots)
{
}

boost::asio::awaitable<answer> application::handle(exchange& call)
{
    static constexpr std::array<route<application>, 4> routes{
        {{"GET", "/load", &application::load},
         {"GET", "/executions", &application::executions},
         {"GET", executions_path, &application::await_execution},
         {"POST", "/", &application::execute}}};
    co_return co_await dispatch(*this, routes, call);
}

nlohmann::json application::stats()
{
    return {{"executions", executions_.to_json()}};
}

void application::apply_faults(const nlohmann::json& /*body*/) {}

boost::asio::awaitable<answer> application::load(exchange& /*call*/)
{
    co_return json_reply(200, load_report(settings_, incarnation_, slots_, *control_));
}

boost::asio::awaitable<answer> application::executions(exchange& /*call*/)
{
    co_return json_reply(200, executions_.to_json());
}

boost::asio::awaitable<answer> application::await_execution(exchange& call)
{
    const std::string key = call.request().path.substr(executions_path.size());
    for (;;) {
        const auto seen = executed_.version();
        const auto counts = executions_.to_json();
        if (counts.contains(key)) {
            co_return json_reply(200, counts);
        }
        co_await executed_.wait(seen);
    }
}

boost::asio::awaitable<answer> application::execute(exchange& call)
{
    if (control_->current()->refuse) {
        co_return not_run_reply();
    }
    co_await slots_.acquire(0);
    co_await control_->wait_while_frozen();
    executions_.add(call.request().header("idempotency-key"));
    executed_.notify();
    control_->exit_if_crash_prompt(call.request().body);
    co_await pause(std::chrono::duration<double, std::milli>(settings_.service_ms *
                                                             control_->current()->slow));
    slots_.release();
    if (control_->lose_answer()) {
        call.abandon();
        co_return std::nullopt;
    }
    const nlohmann::json result{{"path", call.request().path},
                                {"request", call.request().header("request-id")},
                                {"body", call.request().body},
                                {"endpoint", settings_.name}};
    co_return json_reply(200, result);
}

} // namespace ej::stand_ins
