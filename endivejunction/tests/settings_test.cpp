#include "parse_settings.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <vector>

namespace ej {

namespace {

const std::vector<std::string> complete{"--vm",
                                        "vm-1",
                                        "--failure-domain",
                                        "recife",
                                        "--platform",
                                        "127.0.0.1:9000",
                                        "--workspace-key",
                                        "pilots=secret",
                                        "--operator-key",
                                        "operator",
                                        "--fleet-secret",
                                        "0123456789abcdef",
                                        "--class",
                                        "summaries:generation:bell-signal"};

} // namespace

TEST_CASE("complete and valid settings give no findings")
{
    core::findings faults;
    const auto settings = parse_settings(complete, faults);
    INFO(faults.status());
    REQUIRE(faults.empty());
    CHECK(settings.daemon.vm == core::vm_id("vm-1"));
    CHECK(settings.daemon.workspace_keys.front().key == "secret");
    CHECK(settings.daemon.classes.front().kind == core::work_kind::generation);
}

TEST_CASE("settings with several faults report each with its flag")
{
    core::findings faults;
    const std::vector<std::string> given{"--listen",    "nowhere", "--fleet-secret",  "short",
                                         "--threads",   "0",       "--workspace-key", "=",
                                         "--log-level", "loud",    "--class",         "x:y"};
    (void)parse_settings(given, faults);
    std::vector<std::string> places;
    for (const auto& found : faults.list()) {
        places.push_back(found.place);
    }
    CHECK(places == std::vector<std::string>{"--vm", "--failure-domain", "--listen", "--platform",
                                             "--workspace-key", "--operator-key", "--fleet-secret",
                                             "--class", "--threads", "--log-level"});
}

TEST_CASE("an unknown flag is reported as a fault of the command line")
{
    core::findings faults;
    const std::vector<std::string> given{"--weights", "3"};
    (void)parse_settings(given, faults);
    REQUIRE(faults.list().size() == 1);
    CHECK(faults.list().front().place == "command line");
}

TEST_CASE("an environment variable sets a flag that is not given, a given flag takes precedence")
{
    REQUIRE(setenv("EJ_VM", "from-environment", 1) == 0);
    REQUIRE(setenv("EJ_FAILURE_DOMAIN", "natal", 1) == 0);
    core::findings faults;
    const std::vector<std::string> given{"--vm", "from-flag"};
    const auto settings = parse_settings(given, faults);
    CHECK(settings.daemon.vm == core::vm_id("from-flag"));
    CHECK(settings.daemon.domain == core::failure_domain_id("natal"));
    REQUIRE(unsetenv("EJ_VM") == 0);
    REQUIRE(unsetenv("EJ_FAILURE_DOMAIN") == 0);
}

} // namespace ej
