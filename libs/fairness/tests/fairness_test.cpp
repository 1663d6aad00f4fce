#include "naive_fair_queue.h"

#include <fairness/arrival_order.h>
#include <fairness/fair_queue.h>
#include <fairness/max_min_share.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

namespace ej::fairness {

namespace {

queued_request make_request(int number, const std::string& workspace, double work = 1)
{
    return {core::request_id(std::to_string(number)), core::workspace_id(workspace), work,
            core::instant(core::duration(number)), core::instant::max()};
}

// How many of the first 100 served requests belong to "small" if "large" queued 1,000 before it.
template <class Policy>
std::ptrdiff_t served_of_small()
{
    fair_queue queue(std::make_shared<Policy>());
    for (int number = 0; number < 1'000; ++number) {
        queue.push(make_request(number, "large"));
    }
    for (int number = 1'000; number < 1'100; ++number) {
        queue.push(make_request(number, "small"));
    }
    std::ptrdiff_t small = 0;
    for (int served = 0; served < 100; ++served) {
        small += queue.pop()->workspace.text() == "small" ? 1 : 0;
    }
    return small;
}

} // namespace

TEST_CASE("the fair queue serves requests in the same order as the reference implementation")
{
    rc::prop("for any order of push, pop, put_back and cancel", [] {
        fair_queue queue(std::make_shared<max_min_share>());
        naive_fair_queue naive;
        for (int event = 0; event < 120; ++event) {
            const int kind = *rc::gen::inRange(0, 8);
            if (kind < 4) {
                // Powers of two add up without rounding, so that both queues compare exactly.
                const auto added = make_request(event, std::string(1, *rc::gen::inRange('a', 'f')),
                                                *rc::gen::element(0.5, 1.0, 4.0));
                queue.push(added);
                naive.push(added);
            }
            else if (kind == 4) {
                const core::request_id any(std::to_string(*rc::gen::inRange(0, 120)));
                queue.cancel(any);
                naive.cancel(any);
            }
            else {
                const auto taken = queue.pop();
                RC_ASSERT(taken == naive.pop());
                if (taken && kind == 5) {
                    queue.put_back(*taken);
                    naive.put_back(*taken);
                }
            }
            RC_ASSERT(queue.waiting().count == naive.waiting.size());
        }
    });
}

TEST_CASE("the work served to continuously waiting workspaces differs by at most two requests")
{
    rc::prop("for any sizes of requests", [] {
        fair_queue queue(std::make_shared<max_min_share>());
        std::map<core::workspace_id, double> served;
        int number = 0;
        for (const auto* workspace : {"a", "b", "c"}) {
            for (int copies = 0; copies < 60; ++copies) {
                queue.push(make_request(++number, workspace, *rc::gen::inRange(1, 9)));
            }
        }
        for (int pops = 0; pops < 40; ++pops) {
            const auto taken = queue.pop();
            served[taken->workspace] += taken->work;
            const auto [least, most] = std::ranges::minmax(
                std::array{served[core::workspace_id("a")], served[core::workspace_id("b")],
                           served[core::workspace_id("c")]});
            RC_ASSERT(most - least <= 16);
        }
    });
}

TEST_CASE("an idle workspace's share is used by others and returned at once when it sends again")
{
    fair_queue queue(std::make_shared<max_min_share>());
    for (int number = 0; number < 100; ++number) {
        queue.push(make_request(number, "large"));
    }
    for (int served = 0; served < 50; ++served) {
        CHECK(queue.pop()->workspace.text() == "large");
    }
    queue.push(make_request(200, "small"));
    queue.push(make_request(201, "small"));
    int large = 0;
    while (queue.waiting_of(core::workspace_id("small")).count > 0) {
        large += queue.pop()->workspace.text() == "large" ? 1 : 0;
    }
    CHECK(large <= 2);
}

TEST_CASE("with max-min shares, 1,000 queued requests of one workspace leave another its half")
{
    CHECK(served_of_small<max_min_share>() == 50);
    CHECK(served_of_small<arrival_order>() == 0);
}

} // namespace ej::fairness
