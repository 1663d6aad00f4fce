#include "asio.h"

#include "member_service.h"
#include <http/pause_for.h>

#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

namespace ej::runtime {

namespace {

constexpr std::chrono::seconds max_wait{30};

daemon_settings settings_of(const std::string& vm, const std::string& domain)
{
    daemon_settings settings;
    settings.vm = core::vm_id(vm);
    settings.domain = core::failure_domain_id(domain);
    settings.fleet_secrets.list = {seal::secret{"the secret of this fleet"}};
    return settings;
}

platform::vm_record daemon_line(const std::string& vm, const std::string& domain,
                                const member_service& service)
{
    platform::vm_record line;
    line.vm = core::vm_id(vm);
    line.role = platform::vm_role::daemon;
    line.what.domain = core::failure_domain_id(domain);
    line.what.where = service.address();
    return line;
}

platform::vm_record engine_line(const std::string& name)
{
    platform::vm_record line;
    line.vm = core::vm_id("vm of " + name);
    line.role = platform::vm_role::engine;
    line.what.name = core::endpoint_id(name);
    line.what.incarnation = core::incarnation_id("1");
    line.what.domain = core::failure_domain_id("d0");
    line.what.where = {"127.0.0.1", 1};
    return line;
}

/// The usable endpoints that one member service published last.
class used_endpoints {
public:
    member_hooks hooks()
    {
        member_hooks made;
        made.on_endpoints = [this](const std::vector<core::endpoint>& usable) {
            const std::scoped_lock lock(mutex_);
            names_.clear();
            for (const auto& one : usable) {
                names_.push_back(one.name.text());
            }
            changed_.notify_all();
        };
        made.on_request = [](const core::vm_id& from, const peer_wire::opaque_message& asked,
                             const member_hooks::reply_function& reply) {
            reply(from.text() + ':' + asked.payload);
        };
        return made;
    }

    bool wait_until_equal(const std::vector<std::string>& wanted)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, max_wait, [&] { return names_ == wanted; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> names_;
};

asio::awaitable<void> run_timer(std::vector<member_service*> services)
{
    for (;;) {
        for (auto* one : services) {
            one->tick();
        }
        co_await http::pause_for(std::chrono::milliseconds(50));
    }
}

} // namespace

TEST_CASE("gossip removes a leaving endpoint at all daemons, also across failure domains")
{
    used_endpoints at_a;
    used_endpoints at_b;
    used_endpoints at_c;
    asio::thread_pool pool(2);
    member_service a(pool.get_executor(), settings_of("a", "d0"), membership::boot_number(1),
                     at_a.hooks());
    member_service b(pool.get_executor(), settings_of("b", "d0"), membership::boot_number(1),
                     at_b.hooks());
    member_service c(pool.get_executor(), settings_of("c", "d1"), membership::boot_number(1),
                     at_c.hooks());
    asio::co_spawn(pool, run_timer({&a, &b, &c}), asio::detached);
    const std::vector list{daemon_line("a", "d0", a), daemon_line("b", "d0", b),
                           daemon_line("c", "d1", c), engine_line("e1"), engine_line("e2")};
    a.set_vm_list(list);
    c.set_vm_list(list);
    CHECK(at_a.wait_until_equal({"e1", "e2"}));
    CHECK(at_b.wait_until_equal({"e1", "e2"})); // Received from a, as b has no list.
    CHECK(at_c.wait_until_equal({"e1", "e2"}));

    const auto now = std::chrono::steady_clock::now();
    b.report({core::endpoint_id("e1"), core::incarnation_id("1"), true, now});
    a.set_vm_list(list); // The list still has e1.
    c.set_vm_list(list);
    CHECK(at_b.wait_until_equal({"e2"}));
    CHECK(at_a.wait_until_equal({"e2"}));
    CHECK(at_c.wait_until_equal({"e2"}));

    auto answer = asio::co_spawn(
        pool, a.request(c.address(), {peer_wire::message_kind::action_forward, "x"}, max_wait),
        asio::use_future);
    CHECK(answer.get().value() == "a:x");
    pool.stop();
    pool.join();
}

} // namespace ej::runtime
