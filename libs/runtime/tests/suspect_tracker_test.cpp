#include "suspect_tracker.h"

#include <catch2/catch.hpp>

namespace ej::runtime {

namespace {

using suspects::request_digest;
using suspects::verdict;

const request_digest crashing(1);
const request_digest beside(2);
const core::instant now{};

core::endpoint engine(const std::string& name)
{
    core::endpoint made;
    made.name = core::endpoint_id(name);
    made.incarnation = core::incarnation_id("boot of " + name);
    return made;
}

} // namespace

TEST_CASE("a request is isolated after one death that it had to itself and refused after two")
{
    suspect_tracker watch;
    CHECK(watch.judge(crashing, now) == verdict::run);
    watch.begin(engine("e1").name, crashing);
    CHECK_FALSE(watch.record_death(engine("e1"), crashing, now).running.empty());
    CHECK(watch.judge(crashing, now) == verdict::isolate);
    watch.begin(engine("e2").name, crashing);
    CHECK_FALSE(watch.record_death(engine("e2"), crashing, now).running.empty());
    CHECK(watch.judge(crashing, now) == verdict::refuse);
}

TEST_CASE("a request that had output at the engine is not blamed for its death")
{
    suspect_tracker watch;
    for (const auto* const name : {"e1", "e2", "e3"}) {
        watch.begin(engine(name).name, beside);
        watch.begin(engine(name).name, crashing);
        watch.end(engine(name).name, beside);
        watch.record_death(engine(name), crashing, now);
    }
    CHECK(watch.judge(beside, now) == verdict::run);
    CHECK(watch.judge(crashing, now) == verdict::refuse);
}

TEST_CASE("two deaths in company refuse nobody")
{
    suspect_tracker watch;
    for (const auto* const name : {"e1", "e2"}) {
        watch.begin(engine(name).name, beside);
        watch.begin(engine(name).name, crashing);
        watch.record_death(engine(name), crashing, now);
    }
    CHECK(watch.judge(beside, now) == verdict::isolate);
    CHECK(watch.judge(crashing, now) == verdict::isolate);
}

TEST_CASE("a death that is heard again is no news")
{
    suspect_tracker here;
    suspect_tracker there;
    const auto seen = here.record_death(engine("e1"), crashing, now);
    CHECK(there.record_remote_death(seen, now));
    CHECK_FALSE(there.record_remote_death(seen, now));
    CHECK(there.judge(crashing, now) == verdict::isolate);
    CHECK(here.record_death(engine("e1"), crashing, now).running.empty());
    there.clear(crashing);
    CHECK(there.judge(crashing, now) == verdict::run);
}

} // namespace ej::runtime
