#include "asio.h"

#include "config_service.h"
#include "daemon_operator.h"

#include <http/server.h>

#include <boost/asio/thread_pool.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <map>
#include <mutex>
#include <ranges>
#include <thread>

namespace ej::runtime {

namespace {

/// An in-memory key-value service that can leave the next writes unanswered.
class fake_platform {
public:
    explicit fake_platform(const asio::any_io_executor& executor)
        : server_(http::server::start(executor, {"127.0.0.1", 0}, {},
                                      [this](std::shared_ptr<http::exchange> call) {
                                          return handle(this, std::move(call));
                                      })
                      .value())
    {
    }

    [[nodiscard]] core::address address() const { return server_->local(); }

    void lose_answers(int count)
    {
        const std::scoped_lock lock(mutex_);
        lost_answers_left_ = count;
    }

    bool has(const std::string& key)
    {
        const std::scoped_lock lock(mutex_);
        return entries_.contains(key);
    }

private:
    static asio::awaitable<void> handle(fake_platform* platform,
                                        std::shared_ptr<http::exchange> call)
    {
        http::response answer = platform->answer(call->received());
        if (answer.status != 0) {
            (void)co_await call->respond(std::move(answer));
        }
    }

    http::response answer(const http::request& asked)
    {
        const std::scoped_lock lock(mutex_);
        const std::string path = asked.target.substr(0, asked.target.find('?'));
        const std::string key = path.substr(std::string_view("/kv/").size());
        auto& entry = entries_[key];
        http::response reply;
        if (asked.method == "PUT") {
            return write(entry, asked);
        }
        const bool watch = asked.target.find("after=") != std::string::npos;
        if (entry.second == 0 || (watch && number(asked.target) >= entry.second)) {
            reply.status = watch ? 304 : 404;
            return reply;
        }
        reply.body = nlohmann::json{{"value", entry.first}, {"revision", entry.second}}.dump();
        return reply;
    }

    http::response write(std::pair<std::string, std::uint64_t>& entry, const http::request& asked)
    {
        http::response reply;
        if (number(asked.target) != entry.second) {
            reply.status = 409;
        }
        else {
            entry = {asked.body, ++revision_};
        }
        reply.body = nlohmann::json{{"revision", entry.second}}.dump();
        if (lost_answers_left_ > 0) {
            --lost_answers_left_;
            reply.status = 0;
        }
        return reply;
    }

    static std::uint64_t number(const std::string& target)
    {
        std::uint64_t value = 0;
        const auto* const begin = target.data() + target.find('=') + 1;
        std::from_chars(begin, target.data() + target.size(), value);
        return value;
    }

    std::mutex mutex_;
    std::map<std::string, std::pair<std::string, std::uint64_t>> entries_;
    std::uint64_t revision_ = 0;
    int lost_answers_left_ = 0;
    std::unique_ptr<http::server> server_;
};

/// Delivers messages directly to the other daemons.
class direct_peers : public config_peers {
public:
    direct_peers(std::string self, std::map<std::string, config_driver*>& drivers)
        : self_(std::move(self)), drivers_(drivers)
    {
    }
    void send(const core::vm_id& to, std::string payload) override
    {
        if (drivers_.contains(to.text())) {
            const auto heard = drivers_.at(to.text())->receive(core::vm_id(self_), payload);
            unreadable += heard.ok() ? 0 : 1;
        }
    }

    std::atomic<int> unreadable = 0; ///< Counted here, as Catch2's checks are not thread-safe.

private:
    std::string self_;
    std::map<std::string, config_driver*>& drivers_;
};

/// The configuration components of one daemon.
struct node {
    node(const asio::any_io_executor& executor, const std::string& vm,
         const core::address& platform, std::map<std::string, config_driver*>& drivers)
        : shared(std::make_shared<daemon_context>(settings(vm, platform),
                                                  std::make_shared<http::client>(executor))),
          peers(vm, drivers), service(executor, shared, peers, follower(vm), 1),
          operators(executor, shared, service, 1)
    {
    }

    static daemon_settings settings(const std::string& vm, const core::address& platform)
    {
        daemon_settings made;
        made.vm = core::vm_id(vm);
        made.platform = platform;
        made.fleet_secrets.list.push_back({"0123456789abcdef"});
        return made;
    }
    static config::follower_settings follower(const std::string& vm)
    {
        config::follower_settings made;
        made.self = {core::vm_id(vm), core::failure_domain_id("recife")};
        made.watchers = 1;
        return made;
    }

    std::shared_ptr<daemon_context> shared;
    direct_peers peers;
    config_service service;
    daemon_operator operators;
};

template <class Predicate>
void wait_until(Predicate holds)
{
    while (!holds()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

config::change workspace(const std::string& id, const std::string& name, std::uint64_t expected)
{
    return {config::change_id(id), core::revision(expected),
            config::put_workspace{{core::workspace_id(name), 10}}};
}

/// Two daemons that are peers; only one of them can connect to the platform.
class pair_of_nodes {
public:
    pair_of_nodes()
    {
        drivers_ = {{"a", &connected.service.driver()}, {"b", &cut_off.service.driver()}};
        const std::vector<config::member> members{
            {core::vm_id("a"), core::failure_domain_id("recife")},
            {core::vm_id("b"), core::failure_domain_id("recife")}};
        for (node* one : {&connected, &cut_off}) {
            one->service.driver().set_members(members);
            one->service.start();
        }
        wait_until([this] { return connected.operators.ready() && cut_off.operators.ready(); });
    }
    ~pair_of_nodes()
    {
        pool_.stop();
        pool_.join();
    }
    pair_of_nodes(const pair_of_nodes&) = delete;
    pair_of_nodes& operator=(const pair_of_nodes&) = delete;
    pair_of_nodes(pair_of_nodes&&) = delete;
    pair_of_nodes& operator=(pair_of_nodes&&) = delete;

private:
    asio::thread_pool pool_{3};
    std::map<std::string, config_driver*> drivers_;

public:
    fake_platform platform{pool_.get_executor()};
    node connected{pool_.get_executor(), "a", platform.address(), drivers_};
    node cut_off{
        pool_.get_executor(), "b", {"127.0.0.1", 1}, drivers_}; ///< Nothing listens on port 1.
};

using config::submission_outcome;

} // namespace

TEST_CASE(
    "a change accepted at one daemon comes into force at one without a connection to the platform")
{
    pair_of_nodes nodes;
    const auto accepts = [&](int i) {
        const std::string number = std::to_string(i);
        return nodes.connected.operators.submit(workspace("c" + number, "w" + number, 0)).outcome ==
               submission_outcome::accepted;
    };
    CHECK(std::ranges::all_of(std::views::iota(1, 31), accepts));
    CHECK(nodes.platform.has("config/base"));
    wait_until([&] {
        return nodes.cut_off.operators.configuration_in_force() ==
               nodes.connected.operators.configuration_in_force();
    });
    CHECK(nodes.cut_off.operators.status().configuration.in_force == core::revision(30));
    wait_until([&] {
        return nodes.connected.operators.status().members.at(1).in_force == core::revision(30);
    });
    CHECK(nodes.connected.peers.unreadable + nodes.cut_off.peers.unreadable == 0);
}

TEST_CASE("a change is accepted if its write had no answer, and a conflicting one is reported as "
          "conflict")
{
    pair_of_nodes nodes;
    nodes.platform.lose_answers(1);
    const auto unanswered = nodes.connected.operators.submit(workspace("c1", "w", 0));
    CHECK(unanswered.outcome == submission_outcome::accepted);
    CHECK(unanswered.revision == core::revision(1));
    const auto loser = nodes.connected.operators.submit(workspace("c2", "w", 0));
    CHECK(loser.outcome == submission_outcome::conflict);
    CHECK(loser.revision == core::revision(1));
    CHECK(nodes.cut_off.operators.submit(workspace("c3", "v", 0)).outcome ==
          submission_outcome::unavailable);
}

} // namespace ej::runtime
