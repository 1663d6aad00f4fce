#include "suspect_tracker.h"

#include <catch2/catch.hpp>

#include <vector>

namespace ej::runtime {

namespace {

using suspects::request_digest;
using suspects::verdict;

const request_digest crashing(1);
const request_digest bystander(2);
const core::instant now{};

core::endpoint engine(const std::string& name)
{
    core::endpoint made;
    made.name = core::endpoint_id(name);
    made.incarnation = core::incarnation_id("boot of " + name);
    return made;
}

} // namespace

TEST_CASE("a request that ran alone is isolated after one engine death and refused after two")
{
    suspect_tracker watch;
    CHECK(watch.evaluate(crashing, now) == verdict::run);
    watch.begin(engine("e1").name, crashing);
    CHECK_FALSE(watch.record_death(engine("e1"), crashing, now).running.empty());
    CHECK(watch.evaluate(crashing, now) == verdict::isolate);
    watch.begin(engine("e2").name, crashing);
    CHECK_FALSE(watch.record_death(engine("e2"), crashing, now).running.empty());
    CHECK(watch.evaluate(crashing, now) == verdict::refuse);
}

TEST_CASE("a request that no longer runs at the engine is not a suspect after its death")
{
    suspect_tracker watch;
    for (const auto* const name : {"e1", "e2", "e3"}) {
        watch.begin(engine(name).name, bystander);
        watch.begin(engine(name).name, crashing);
        watch.end(engine(name).name, bystander);
        watch.record_death(engine(name), crashing, now);
    }
    CHECK(watch.evaluate(bystander, now) == verdict::run);
    CHECK(watch.evaluate(crashing, now) == verdict::refuse);
}

// BUDGET: output made a request that crashes its engines no suspect.
TEST_CASE("a request that crashes engines after its output is refused after two deaths")
{
    suspect_tracker watch;
    for (const auto* const name : {"e1", "e2"}) {
        CHECK(watch.evaluate(crashing, now) != verdict::refuse);
        watch.begin(engine(name).name, crashing);
        watch.record_output(engine(name).name, crashing);
        watch.record_death(engine(name), crashing, now);
    }
    CHECK(watch.evaluate(crashing, now) == verdict::refuse);
}

TEST_CASE("a request after output is not refused for the deaths that refuse one without output")
{
    suspect_tracker watch;
    for (const auto* const name : {"e1", "e2", "e3"}) {
        watch.begin(engine(name).name, bystander);
        watch.begin(engine(name).name, crashing);
        watch.record_output(engine(name).name, bystander);
        watch.record_death(engine(name), crashing, now);
    }
    CHECK(watch.evaluate(bystander, now) == verdict::run);
    CHECK(watch.evaluate(crashing, now) == verdict::refuse);
    for (const auto* const name : {"e1", "e2", "e3"}) {
        watch.record_death(engine(name), bystander, now);
    }
    CHECK(watch.evaluate(bystander, now) != verdict::refuse);
}

TEST_CASE("a request after output does not report one without output before that does itself")
{
    suspect_tracker watch;
    watch.begin(engine("e1").name, bystander, true);
    watch.begin(engine("e1").name, crashing);
    CHECK(watch.record_death(engine("e1"), bystander, now).running.empty());
    CHECK(watch.record_death(engine("e1"), crashing, now).running == std::vector{crashing});
}

TEST_CASE("two requests at the same two engine deaths are isolated and not refused")
{
    suspect_tracker watch;
    for (const auto* const name : {"e1", "e2"}) {
        watch.begin(engine(name).name, bystander);
        watch.begin(engine(name).name, crashing);
        watch.record_death(engine(name), crashing, now);
    }
    CHECK(watch.evaluate(bystander, now) == verdict::isolate);
    CHECK(watch.evaluate(crashing, now) == verdict::isolate);
}

TEST_CASE("a death record that is received again changes nothing")
{
    suspect_tracker local;
    suspect_tracker remote;
    const auto seen = local.record_death(engine("e1"), crashing, now);
    CHECK(remote.record_remote_death(seen, now));
    CHECK_FALSE(remote.record_remote_death(seen, now));
    CHECK(remote.evaluate(crashing, now) == verdict::isolate);
    CHECK(local.record_death(engine("e1"), crashing, now).running.empty());
    remote.clear(crashing);
    CHECK(remote.evaluate(crashing, now) == verdict::run);
}

} // namespace ej::runtime
