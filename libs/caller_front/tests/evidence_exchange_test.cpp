#include "evidence_exchange.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace ej::front {

namespace {

using suspects::request_digest;

constexpr int daemons = 5;
constexpr int deaths_to_refuse = 3;
constexpr std::uint64_t requests = 20; // More deaths than one report holds.
constexpr int rounds = 200;

/// Daemons that hand evidence on in memory, with a share of the messages lost.
class exchanging_fleet {
public:
    explicit exchanging_fleet(double loss) : lost_(loss)
    {
        for (int number = 0; number < daemons; ++number) {
            start(number);
        }
    }

    /// Starts the daemon `number` anew, without evidence. It does not ask for any.
    void start(int number)
    {
        auto& one = members_.at(static_cast<std::size_t>(number));
        front_settings settings;
        settings.vm = core::vm_id("vm" + std::to_string(number));
        one.exchange.reset();
        one.context = std::make_unique<front_context>(settings, header_names{});
        std::vector<core::address> peers;
        for (int other = 0; other < daemons; ++other) {
            if (other != number) {
                peers.push_back(address_of(other));
            }
        }
        one.context->peers.store(std::move(peers));
        one.exchange = std::make_unique<evidence_exchange>(
            *one.context, loop_, [this, number](const peer_message& what, const core::address& to) {
                messages_.push_back({number, to.port, what});
            });
    }

    front_context& context(int number)
    {
        return *members_.at(static_cast<std::size_t>(number)).context;
    }

    evidence_exchange& exchange(int number)
    {
        return *members_.at(static_cast<std::size_t>(number)).exchange;
    }

    /// Drops the messages that are under way.
    void lose_messages() { messages_.clear(); }

    /// Runs what daemons do later, until `done` returns true or nothing is left to do.
    void run_until(const std::function<bool()>& done)
    {
        deliver();
        while (!done() && loop_.run_one() > 0) {
            deliver();
        }
    }

    /// Records at the daemon `number` as many deaths as refuse `request`.
    void crash(int number, request_digest request)
    {
        for (int death = 0; death < deaths_to_refuse; ++death) {
            const auto name = std::to_string(request.value()) + "-" + std::to_string(death);
            context(number).suspects.record_death(
                {{core::endpoint_id(name), core::incarnation_id("1")}, {request}, {}}, now_);
        }
    }

    /// Delivers all messages that are not lost, and what they cause.
    void deliver()
    {
        while (!messages_.empty()) {
            for (const auto& one : std::exchange(messages_, {})) {
                if (std::uniform_real_distribution<>(0, 1)(random_) >= lost_) {
                    std::visit([&](const auto& what) { apply(one.from, one.to, what); }, one.what);
                }
            }
        }
    }

    void repeat_all()
    {
        for (int number = 0; number < daemons; ++number) {
            exchange(number).repeat();
        }
        deliver();
    }

    bool refuses(int number, request_digest request)
    {
        return context(number).suspects.evaluate(request, now_) == suspects::verdict::refuse;
    }

private:
    struct member {
        std::unique_ptr<front_context> context;
        std::unique_ptr<evidence_exchange> exchange;
    };

    struct message {
        int from = 0;
        int to = 0;
        peer_message what;
    };

    static core::address address_of(int number)
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(number)};
    }

    void apply(int from, int to, const suspects::evidence_query& /*query*/)
    {
        exchange(to).answer(address_of(from));
    }

    void apply(int from, int to, const suspects::evidence_report& report)
    {
        exchange(to).apply(report, address_of(from));
    }

    void apply(int /*from*/, int to, const suspects::cleared_request& one)
    {
        context(to).suspects.clear(one.request);
    }

    template <class Other>
    void apply(int /*from*/, int /*to*/, const Other& /*what*/)
    {
    }

    double lost_;
    core::instant now_ = std::chrono::steady_clock::now();
    asio::io_context loop_;
    std::mt19937 random_{34}; // The same run each time.
    std::vector<member> members_{static_cast<std::size_t>(daemons)};
    std::vector<message> messages_;
};

} // namespace

TEST_CASE("a daemon that starts asks the others which requests they refuse")
{
    exchanging_fleet fleet(0);
    for (int number = 1; number < daemons; ++number) {
        for (std::uint64_t request = 0; request < requests; ++request) {
            fleet.crash(number, request_digest(request));
        }
    }
    fleet.exchange(0).start();
    fleet.deliver();
    for (std::uint64_t request = 0; request < requests; ++request) {
        CHECK(fleet.refuses(0, request_digest(request)));
    }
}

TEST_CASE("a daemon asks again if its queries are lost")
{
    exchanging_fleet fleet(0);
    const request_digest request(7);
    for (int number = 1; number < daemons; ++number) {
        fleet.crash(number, request);
    }
    fleet.exchange(0).start();
    fleet.lose_messages();
    fleet.run_until([&] { return fleet.refuses(0, request); });
    CHECK(fleet.refuses(0, request));
}

TEST_CASE("daemons that start together ask until they reach one that was there before")
{
    exchanging_fleet fleet(0);
    const request_digest request(7);
    fleet.crash(0, request);
    for (int number = 1; number < daemons; ++number) {
        fleet.exchange(number).start();
    }
    const auto all_refuse = [&] {
        bool all = true;
        for (int number = 0; number < daemons; ++number) {
            all = all && fleet.refuses(number, request);
        }
        return all;
    };
    fleet.run_until(all_refuse);
    CHECK(all_refuse());
}

TEST_CASE("all daemons come to refuse a request although messages are lost and daemons restart")
{
    exchanging_fleet fleet(0.5);
    for (std::uint64_t request = 0; request < requests; ++request) {
        fleet.crash(0, request_digest(request));
    }
    for (int round = 0; round < rounds; ++round) {
        if (round == rounds / 4) {
            fleet.start(0); // The one that saw the deaths.
        }
        fleet.repeat_all();
    }
    for (int number = 0; number < daemons; ++number) {
        for (std::uint64_t request = 0; request < requests; ++request) {
            CHECK(fleet.refuses(number, request_digest(request)));
        }
    }
}

TEST_CASE("evidence against a request that has completed is not revived by daemons that have not "
          "heard of it")
{
    exchanging_fleet fleet(0);
    const request_digest request(7);
    fleet.crash(0, request);
    for (int round = 0; round < rounds; ++round) {
        fleet.repeat_all();
    }
    REQUIRE(fleet.refuses(4, request));
    fleet.context(2).suspects.clear(request); // Its message to the others is lost.
    for (int round = 0; round < rounds; ++round) {
        fleet.repeat_all();
    }
    for (int number = 0; number < daemons; ++number) {
        CHECK_FALSE(fleet.refuses(number, request));
    }
}

TEST_CASE("a daemon that knows many deaths sends one report at a time unasked")
{
    exchanging_fleet fleet(0);
    for (std::uint64_t request = 0; request < 10 * requests; ++request) {
        fleet.crash(0, request_digest(request));
    }
    int sent = 0;
    asio::io_context loop;
    evidence_exchange exchange(fleet.context(0), loop,
                               [&](const peer_message&, const core::address&) { ++sent; });
    exchange.repeat();
    CHECK(sent == 1);
}

} // namespace ej::front
