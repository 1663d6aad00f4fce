#include "process_log.h"

#include "caller.h"
#include "daemon_fixture.h"

#include <fleet/flooding_endpoint.h>
#include <harness/child_process.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace ej::process_tests {

namespace {

using fleet::flooding_endpoint;
using fleet::header_value;
using forward_tests::caller;
using forward_tests::daemon_fixture;
using forward_tests::request;

// The memory of the smallest VMs that run daemons, and what one may use of it.
constexpr int vm_mb = 195;
constexpr std::size_t most_kb = std::size_t{120} << 10;
constexpr int floods = 40;

/// What a faulty endpoint writes without end, and who does not read it.
struct flood {
    std::string name;
    std::string path;
    std::string fields; ///< Of the answer's head, besides the signature.
    std::string part;
    bool caller_reads = true;
};

flood any_flood()
{
    return GENERATE(flood{"the body of an answer", "/act/x", "\r\n", std::string(8'192, 'x')},
                    flood{"the body of a failure", "/gen/x",
                          "Endivejunction-Not-Executed: 1\r\n\r\n", std::string(8'192, 'x')},
                    flood{"an event", "/gen/x", "\r\ndata: ", std::string(8'192, 'x')},
                    flood{"events to callers that do not read", "/gen/x", "\r\n",
                          "data: " + std::string(8'000, 'x') + "\n\n", false});
}

flooding_endpoint::beginning beginning_of(const flood& one)
{
    const bool failure = one.fields.find("Not-Executed") != std::string::npos;
    return [failure, fields = one.fields](const std::string& text) {
        return (failure ? "HTTP/1.1 503 X\r\n" : "HTTP/1.1 200 OK\r\n") +
               ("Endivejunction-Attempt-Id: " + header_value(text, "Endivejunction-Attempt-Id")) +
               "\r\nEndivejunction-Response-Signature: s\r\n" + fields;
    };
}

std::unique_ptr<harness::child_process> start_daemon(const core::address& store,
                                                     const process_log& log)
{
    auto started = harness::child_process::start_logging(
        std::string(EJ_PROGRAM_FOLDER) + "/endivejunction",
        {"forward", "--vm", "vm-1", "--failure-domain", "z1", "--listen", "127.0.0.1:0",
         "--ready-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--memory-mb",
         std::to_string(vm_mb), "--store", core::to_string(store)},
        log.path());
    if (!started.ok() || !daemon_fixture::wait_until([&] { return log.has("callers="); })) {
        throw std::runtime_error("the daemon did not start");
    }
    return *std::move(started);
}

/// The most memory that a process has had, in kB.
std::size_t peak_memory_kb(const harness::child_process& process)
{
    std::ifstream status("/proc/" + std::to_string(process.id()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0;
}

using callers = std::vector<std::unique_ptr<caller>>;

/// Callers that have each sent a request.
callers send_requests(const core::address& where, const std::string& path)
{
    callers made;
    for (int number = 0; number < floods; ++number) {
        made.push_back(std::make_unique<caller>(where));
        made.back()->send(request("POST", path, "f" + std::to_string(number), "b"));
    }
    return made;
}

void read_answers(const callers& waiting)
{
    std::ranges::for_each(waiting, [](const auto& one) { static_cast<void>(one->read_answer()); });
}

/// Waits until the daemon has given up every flood.
void wait_until_closed(const flooding_endpoint& faulty)
{
    REQUIRE(daemon_fixture::wait_until([&] { return faulty.requests() > 0; }));
    REQUIRE(daemon_fixture::wait_until([&] { return faulty.closed() == faulty.requests(); }));
}

/// True if the daemon answers its health check.
bool is_ready(const core::address& where)
{
    caller balancer(where);
    balancer.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    return balancer.read_answer().starts_with("HTTP/1.1 200");
}

} // namespace

TEST_CASE("endpoints that write without end do not fill their daemon's memory")
{
    const auto one = any_flood();
    INFO(one.name);
    daemon_fixture fixture;
    const flooding_endpoint faulty(beginning_of(one), one.part);
    const auto* const service = one.path.starts_with("/gen/") ? "llm" : "app";
    fixture.store.put("servers/i-1",
                      fleet::registration(service, faulty.address(), "z1", "ready", 1));
    fixture.configure(1);
    const process_log log;
    const auto process = start_daemon(fixture.store.address(), log);
    REQUIRE(daemon_fixture::wait_until([&] { return log.has("endpoint=i-1"); }));
    const auto waiting = send_requests(log.address("callers"), one.path);
    if (one.caller_reads) {
        read_answers(waiting);
    }
    wait_until_closed(faulty);
    const auto most = peak_memory_kb(*process);
    CHECK(most > 0);
    CHECK(most < most_kb);
    CHECK(is_ready(log.address("ready")));
    process->signal(SIGTERM);
    CHECK(process->wait() == 0);
}

} // namespace ej::process_tests
