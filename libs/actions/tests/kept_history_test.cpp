#include "claiming_daemon.h"
#include "run_history.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <sstream>

// Minimized histories. Each one failed without the rule that its test is named after.
namespace ej::actions::model {

namespace {

constexpr std::array<std::string_view, operation_count> names{
    "deliver", "drop", "linger", "submit", "issue",  "advance", "crash",
    "pause",   "wake", "outage", "cut",    "refuse", "drain"};

history parse(const std::string& text)
{
    std::istringstream in(text);
    history steps;
    std::string name;
    for (step next; in >> name >> next.a >> next.b;) {
        next.what = static_cast<operation>(std::ranges::find(names, name) - names.begin());
        steps.push_back(next);
    }
    return steps;
}

void check_kept(const std::string& steps)
{
    const std::string broken = violation_by<claiming_daemon>(parse(steps));
    INFO(broken);
    CHECK(broken.empty());
}

} // namespace

TEST_CASE("an action whose answer is lost is not sent again")
{
    check_kept("submit 0 0 deliver 0 0 deliver 0 0 deliver 0 0 deliver 0 0 deliver 0 0 "
               "deliver 0 0 deliver 0 0 deliver 0 0 drop 0 0 ");
}

TEST_CASE("a key whose claim got no answer in a store outage is not answered as not run")
{
    check_kept("submit 11 0 submit 4 0 deliver 0 0 submit 0 0 outage 0 0 linger 4 0 "
               "deliver 6 0 deliver 15 0 ");
}

TEST_CASE("two daemons that claim a key at the same time run it once")
{
    check_kept("submit 0 0 submit 1 0 ");
}

TEST_CASE("a forwarded claim without a record at the owner is not run")
{
    check_kept("submit 1 0 drop 0 0 deliver 0 0 issue 0 0 submit 1 20 deliver 0 0 "
               "submit 0 0 drop 0 0 deliver 15 0 deliver 0 0 deliver 0 0 deliver 0 0 "
               "deliver 0 0 advance 0 35 ");
}

TEST_CASE("a ticket is not run after its expiry")
{
    check_kept("issue 4 0 issue 0 0 submit 1 26 advance 0 16 submit 0 42 submit 0 0 "
               "deliver 0 0 deliver 0 0 deliver 0 0 deliver 0 0 deliver 0 0 pause 0 0 "
               "advance 0 0 submit 0 0 advance 0 23 ");
}

TEST_CASE("another body under a key that is not bound yet is not answered as not run")
{
    check_kept("submit 8 0 submit 11 0 ");
}

TEST_CASE("a repeat of a refused action does not run it")
{
    check_kept("submit 0 0 issue 0 0 submit 0 44 deliver 7 0 refuse 0 0 deliver 3 0 "
               "deliver 15 0 submit 1 23 deliver 1 0 drop 23 0 linger 5 0 ");
}

TEST_CASE("a submission is answered although its key expires while it waits")
{
    check_kept("submit 0 3 pause 0 0 submit 0 3 advance 0 35 ");
}

TEST_CASE("a claim by a VM whose clock is behind is kept for the whole retention")
{
    check_kept("pause 10 7 outage 0 0 submit 0 15 advance 0 5 deliver 0 0 submit 22 0 "
               "submit 0 0 deliver 0 0 ");
}

TEST_CASE("a request queued at a paused daemon is not claimed after claims of its time were pruned")
{
    check_kept("submit 44 15 deliver 0 0 issue 0 0 deliver 0 0 deliver 0 0 deliver 0 0 "
               "pause 46 0 issue 0 0 submit 34 5 submit 5 0 deliver 0 0 advance 0 47 ");
}

TEST_CASE("a request in the socket of a paused daemon is treated as arrived before the pause")
{
    check_kept("submit 0 0 deliver 0 0 deliver 0 0 deliver 0 0 deliver 0 0 deliver 0 0 "
               "deliver 0 0 pause 0 0 advance 0 0 submit 0 0 advance 0 23");
}

} // namespace ej::actions::model
