#include "../../membership/tests/fleet.h"

#include <peer_wire/codec.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>

namespace ej::peer_wire {

namespace {

using namespace membership;

// The target size: every daemon of one failure domain, and of each other domain only the bridge
// daemons that connect to it.
constexpr std::size_t domains = 32;
constexpr std::size_t members = 38;
constexpr std::size_t bridges = 2;
constexpr std::size_t endpoints = 10'000;
constexpr std::size_t services = 4;
constexpr std::chrono::seconds span{60};

// Transport frame and the WebSocket, TCP and IP headers.
constexpr std::size_t message_overhead_bytes = 80;

// One end of a connection sends a ping and the other a pong; the size includes their headers.
constexpr double heartbeat_bytes = 60;
constexpr double heartbeat_seconds = 2;

// A request for an endpoint's load, including headers.
constexpr double load_request_bytes = 200;
constexpr double load_request_seconds = 2;
constexpr double endpoints_polled = 16;

// On an ordinary day 910 VMs change: one every 50 minutes in each failure domain.
constexpr std::chrono::seconds change_every{30};

std::vector<listed_endpoint> all_endpoints()
{
    std::vector<listed_endpoint> entries(endpoints);
    for (std::size_t n = 0; n < endpoints; ++n) {
        auto& generated = entries[n].endpoint;
        generated.name = core::endpoint_id("engine-" + std::to_string(n));
        generated.incarnation = core::incarnation_id("incarnation-" + std::to_string(n));
        generated.domain = core::failure_domain_id("d" + std::to_string(n % domains));
        generated.service = core::service_id("service-" + std::to_string(n % services));
        generated.where = {"10.20.30.40", 8'000};
        generated.slots = 64;
    }
    return entries;
}

std::vector<service_capacity> capacities()
{
    std::vector<service_capacity> list;
    list.reserve(services);
    for (std::size_t n = 0; n < services; ++n) {
        list.push_back({core::service_id("service-" + std::to_string(n)), 80, 1'000});
    }
    return list;
}

std::size_t size_of(const effect& sent)
{
    if (const auto* body = std::get_if<send_delta>(&sent)) {
        return encode(body->body).size() + message_overhead_bytes;
    }
    if (const auto* table = std::get_if<send_digest>(&sent)) {
        return encode(table->table).size() + message_overhead_bytes;
    }
    return 0;
}

std::size_t links_of(const fleet& all, std::size_t daemon)
{
    return static_cast<std::size_t>(std::ranges::count_if(all.links, [&](const auto& link) {
        return link.first == daemon || link.second == daemon;
    }));
}

} // namespace

TEST_CASE("control traffic of a daemon stays below 6 KB per second at the target size")
{
    std::vector<std::size_t> sizes(domains, bridges);
    sizes.front() = members;
    fleet all(sizes);
    const auto listed = all_endpoints();
    for (std::size_t n = 0; n < members; ++n) {
        all.daemons[n].endpoints->list(listed, all.now);
    }
    for (std::size_t n = 0; n < all.daemons.size(); ++n) {
        all.deliver_event(n, capacity_measured{capacities()});
    }
    all.settle(std::chrono::seconds(20));

    std::vector<std::size_t> bytes(all.daemons.size());
    all.on_send = [&](std::size_t from, const effect& sent) { bytes[from] += size_of(sent); };
    for (std::size_t n = 0; n < static_cast<std::size_t>(span / change_every); ++n) {
        const auto& leaving = listed[n * domains].endpoint; // Of this failure domain.
        const auto change = all.daemons[n].endpoints->report(
            {leaving.name, leaving.incarnation, true, all.now}, all.now);
        all.deliver_event(n, endpoints_changed{{change.value()}});
        all.settle(change_every);
    }

    const auto seconds = static_cast<double>(span.count());
    const double polling = load_request_bytes * endpoints_polled / load_request_seconds;
    std::vector<double> rates;
    for (std::size_t n = 0; n < members; ++n) {
        const auto links = static_cast<double>(links_of(all, n));
        rates.push_back(static_cast<double>(bytes[n]) / seconds +
                        links * heartbeat_bytes / heartbeat_seconds + polling);
    }
    std::ranges::sort(rates);
    const auto mean = std::accumulate(rates.begin(), rates.end(), 0.0) / members;
    CAPTURE(mean, rates.front(), rates.back(), polling);
    CHECK(mean < 6'000);
    CHECK(rates.back() < 6'000);
}

} // namespace ej::peer_wire
