// Compares ways to find the part of a prompt that crashes endpoints, over modelled histories.
#include "approach.h"
#include "history.h"
#include "prompt_fleet.h"

#include <suspects/independent_bursts_policy.h>
#include <suspects/independent_deaths_policy.h>
#include <suspects/total_deaths_policy.h>
#include <suspects/unanswered_deaths_policy.h>

#include <array>
#include <cstdint>
#include <cstdio>

namespace {

using namespace ej;
using namespace std::chrono_literals;

constexpr std::uint64_t seeds = 5;

template <class Policy>
std::unique_ptr<const suspects::part_policy> make()
{
    return std::make_unique<const Policy>();
}

constexpr std::array<measure::history, 17> histories{{
    {.name = "deadly part 5 %", .deadly_share = 0.05},
    {.name = "deadly part 10 %", .deadly_share = 0.1},
    {.name = "deadly part 20 %", .deadly_share = 0.2},
    {.name = "two deadly parts, 20 %", .deadly_share = 0.2, .deadly_parts = 2},
    {.name = "three deadly parts, 20 %", .deadly_share = 0.2, .deadly_parts = 3},
    {.name = "three deadly parts, 20 %, one domain",
     .deadly_share = 0.2,
     .deadly_parts = 3,
     .one_domain = true},
    {.name = "four deadly parts, 30 %, one domain",
     .deadly_share = 0.3,
     .deadly_parts = 4,
     .one_domain = true},
    {.name = "10 %, cold start", .deadly_share = 0.1, .cold = true},
    {.name = "10 %, a domain crashes every 4 s", .deadly_share = 0.1, .crash_every = 4s},
    {.name = "10 %, datagrams lost 20 %", .deadly_share = 0.1, .lost_datagrams = 0.2},
    {.name = "10 %, third of daemons killed every 3 s", .deadly_share = 0.1, .kill_every = 3s},
    {.name = "10 %, all daemons killed", .deadly_share = 0.1, .kill_all = true},
    {.name = "rack crash", .crash_every = 4s, .crash_once = true},
    {.name = "a domain crashes every 4 s", .crash_every = 4s},
    {.name = "cold start, a domain crashes every 1.2 s", .crash_every = 1200ms, .cold = true},
    {.name = "release", .release = true},
    {.name = "cut of one daemon", .cut = true},
}};

} // namespace

int main()
{
    const std::array<measure::approach, 6> approaches{{
        {"3 deaths", make<suspects::total_deaths_policy>},
        {"3 deaths without output", make<suspects::unanswered_deaths_policy>},
        {"3 bursts in the fleet", make<suspects::independent_bursts_policy>},
        {"3 independent by domain", make<suspects::independent_deaths_policy>},
        {"same, isolated a domain", make<suspects::independent_deaths_policy>,
         measure::isolation::domain},
        {"same, isolated in the fleet", make<suspects::independent_deaths_policy>,
         measure::isolation::fleet},
    }};
    std::printf("| history | way | sound refused | deaths until held | deaths by the part | sent "
                "late, worst run |\n|---|---|---|---|---|---|\n");
    for (const measure::history& chosen : histories) {
        for (const measure::approach& how : approaches) {
            measure::run_figures sum;
            int worst = 0;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const auto one = measure::prompt_fleet(chosen, how, seed).run();
                worst = std::max(worst, one.late_sends);
                sum += one;
            }
            std::printf("| %s | %s | %.2f %% | %.1f | %.1f | %d |\n", chosen.name.data(),
                        how.name.data(), 100.0 * sum.sound_refused / sum.sound_sent,
                        double(sum.deaths_at_hold) / seeds, double(sum.deaths) / seeds, worst);
        }
    }
    return 0;
}
