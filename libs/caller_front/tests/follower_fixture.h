#pragma once

#include "front_context.h"
#include "store_follower.h"
#include "store_update.h"

#include <adapter/site.h>
#include <fleet/endpoint_stand_in.h>
#include <fleet/store_stand_in.h>

#include <http/client.h>
#include <platform/store.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace ej::front {

/// A follower that has listed a store with one endpoint, "i-1".
class follower_fixture {
public:
    // Long enough that the follower sends no query of its own during a test.
    static constexpr std::chrono::minutes no_polling{10};

    explicit follower_fixture(core::duration apply_within = no_polling,
                              core::duration store_deadline = std::chrono::seconds(1))
        : context(settings_for(store, apply_within, store_deadline), adapter::make_site().headers)
    {
        store.put("op/config", R"({"version":1,"routes":[],"services":[{"name":"app"}]})");
        put("i-1");
        context.send_store_update = [this](const store_update& one) {
            sent_updates.push_back(one);
        };
        asio::co_spawn(loop, [this] { return follower.run(); }, asio::detached);
        run_until([this] { return names().size() == 1; });
    }

    void put(const std::string& name)
    {
        store.put("servers/" + name, entry(name));
        ++revision;
    }

    static std::string entry(const std::string& name)
    {
        return fleet::registration("app", {"10.0.0." + name.substr(2), 80}, "z1");
    }

    [[nodiscard]] std::set<std::string> names() const
    {
        std::set<std::string> found;
        for (const auto& one : context.endpoints.load()->of(core::service_id("app"))) {
            found.insert(one.name.text());
        }
        return found;
    }

    [[nodiscard]] platform::store_item item(const std::string& name, std::uint64_t at) const
    {
        return {"servers/" + name, entry(name), core::revision(at)};
    }

    template <class Done>
    bool run_until(const Done& done)
    {
        constexpr std::chrono::seconds longest_wait{20}; // Prevents a hang.
        const auto end = std::chrono::steady_clock::now() + longest_wait;
        while (!done() && std::chrono::steady_clock::now() < end) {
            loop.run_for(std::chrono::milliseconds(5));
            loop.restart();
        }
        return done();
    }

    fleet::store_stand_in store;
    std::uint64_t revision = 2; // Revision of the store.
    front_context context;
    asio::io_context loop{1};
    http::client transport{asio::make_strand(loop)};
    site where = adapter::make_site();
    platform::store calls{transport, {store.address(), std::chrono::seconds(1)}, where.protocol};
    store_follower follower{context, calls, *where.layout, loop};
    std::vector<store_update> sent_updates;

private:
    static front_settings settings_for(const fleet::store_stand_in& store,
                                       core::duration apply_within, core::duration store_deadline)
    {
        front_settings made;
        made.vm = core::vm_id("vm-2");
        made.domain = core::failure_domain_id("z1");
        made.peer_listen = {"127.0.0.1", 9};
        made.store = store.address();
        made.store_deadline = store_deadline;
        made.apply_within = apply_within;
        return made;
    }
};

} // namespace ej::front
