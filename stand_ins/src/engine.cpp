#include "engine.h"

#include "dispatch.h"
#include "json_reply.h"
#include "load_report.h"
#include "parse_generation_parameters.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>

#include <array>

namespace ej::stand_ins {

namespace {

constexpr std::string_view generations_path = "/generations/";

engine_assignment parse_assignment(const nlohmann::json& body)
{
    return {body.at("fencing").get<std::uint64_t>(),
            body.value("models", std::vector<std::string>{}),
            body.value("adapters", std::vector<std::string>{}), body.value("role", std::string{})};
}

} // namespace

engine::engine(const boost::asio::any_io_executor& executor, const options& settings,
               std::string incarnation, std::shared_ptr<fault_control> control)
    : executor_(executor), settings_(settings), incarnation_(std::move(incarnation)),
      control_(std::move(control)), slots_(settings.slots), cache_(settings.cached_prefixes),
      assignment_(engine_assignment{0, settings.models, {}, {}})
{
}

boost::asio::awaitable<answer> engine::handle(exchange& call)
{
    static constexpr std::array<route<engine>, 7> routes{
        {{"POST", "/generate", &engine::generate},
         {"POST", "/attach", &engine::attach},
         {"GET", generations_path, &engine::describe},
         {"POST", "/cancel", &engine::cancel},
         {"GET", "/load", &engine::load},
         {"GET", "/cache-events", &engine::cache_events},
         {"POST", "/orders", &engine::apply_order}}};
    counts_.add(call.request().method + ' ' +
                call.request().path.substr(0, call.request().path.find('/', 1)));
    co_return co_await dispatch(*this, routes, call);
}

nlohmann::json engine::stats()
{
    auto all = counts_.to_json();
    all["tokens_generated"] = tokens_generated_.load();
    all["running"] = slots_.running();
    all["waiting"] = slots_.waiting();
    return all;
}

void engine::apply_faults(const nlohmann::json& /*body*/) {}

boost::asio::awaitable<answer> engine::generate(exchange& call)
{
    const auto state = control_->current();
    const auto body = nlohmann::json::parse(call.request().body);
    auto parameters = parse_generation_parameters(body);
    if (state->refuse) {
        co_return not_run_reply();
    }
    if (parameters.prefix.size() != body.value("prefix_tokens", std::uint64_t{0})) {
        co_return error_reply(400, "prefix_tokens does not fit prefix_text");
    }
    const auto variant = state->other_text ? text_variant::other : text_variant::usual;
    const auto running =
        std::make_shared<generation>(std::move(parameters), variant, state->wrong_offset ? 1 : 0);
    if (!generations_.start(running)) {
        co_return error_reply(409, "attempt is superseded");
    }
    counts_.add("generations");
    counts_.add("prefix_tokens", running->parameters().prefix.size());
    boost::asio::co_spawn(boost::asio::make_strand(executor_), run(running), boost::asio::detached);
    co_await stream(call, running, running->first_offset());
    co_return std::nullopt;
}

boost::asio::awaitable<answer> engine::attach(exchange& call)
{
    const auto body = nlohmann::json::parse(call.request().body);
    const auto offset = body.at("offset").get<std::uint64_t>();
    const auto running = generations_.find(body.at("request").get<std::string>(),
                                           body.at("attempt").get<std::uint64_t>());
    if (!running) {
        co_return error_reply(404, "not known here");
    }
    if (offset > running->progress().offset) {
        co_return error_reply(409, "offset is not reached");
    }
    const std::uint64_t shift = control_->current()->wrong_offset ? 1 : 0;
    co_await stream(call, running, offset + shift);
    co_return std::nullopt;
}

boost::asio::awaitable<answer> engine::describe(exchange& call)
{
    const auto rest = call.request().path.substr(generations_path.size());
    const auto slash = std::min(rest.rfind('/'), rest.size());
    const auto attempt = std::strtoull(rest.substr(slash).c_str() + 1, nullptr, 10);
    const auto found = generations_.find(rest.substr(0, slash), attempt);
    if (!found) {
        co_return error_reply(404, "not known here");
    }
    const auto progress = found->progress();
    const nlohmann::json result{{"state", progress.finished() ? "finished" : "running"},
                                {"offset", progress.offset}};
    co_return json_reply(200, result);
}

boost::asio::awaitable<answer> engine::cancel(exchange& call)
{
    const auto body = nlohmann::json::parse(call.request().body);
    generations_.cancel(body.at("request").get<std::string>(),
                        body.at("attempt").get<std::uint64_t>());
    co_return http_reply{};
}

boost::asio::awaitable<answer> engine::load(exchange& /*call*/)
{
    const auto state = assignment_.load();
    auto report = load_report(settings_, incarnation_, slots_, *control_);
    report["tokens_per_second"] = settings_.tokens_per_second;
    report["models"] = state->models;
    report["adapters"] = state->adapters;
    report["role"] = state->role;
    report["cache_sequence"] = cache_.sequence();
    co_return json_reply(200, report);
}

boost::asio::awaitable<answer> engine::cache_events(exchange& call)
{
    const auto after = call.request().parameter("after", "0");
    const auto events = cache_.events_after(std::strtoull(after.c_str(), nullptr, 10));
    co_return json_reply(200, events);
}

boost::asio::awaitable<answer> engine::apply_order(exchange& call)
{
    const engine_assignment requested =
        parse_assignment(nlohmann::json::parse(call.request().body));
    const bool checks = control_->current()->check_fencing;
    const auto in_force = assignment_.update([&](const engine_assignment& before) {
        return checks && requested.fencing < before.fencing ? before : requested;
    });
    const bool accepted = in_force->fencing == requested.fencing;
    counts_.add(accepted ? "orders_accepted" : "orders_refused");
    const nlohmann::json result{{"fencing", in_force->fencing}};
    co_return json_reply(accepted ? 200U : 409U, result);
}

} // namespace ej::stand_ins
