#include "crowded_daemon.h"

#include "caller.h"

#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <vector>

namespace ej::crowd_tests {

namespace {

using fleet::step;
using fleet::step_kind;
using forward_tests::caller;
using forward_tests::daemon_fixture;

std::vector<step> serve_at_once(const std::string& request, int)
{
    return {{step_kind::send, fleet::signed_answer(request, 200, "done")}};
}

} // namespace

crowded_daemon::crowded_daemon()
    : app_(serve_at_once), settings_(std::filesystem::temp_directory_path() /
                                     ("crowded-" + std::to_string(::getpid()) + ".conf"))
{
    fixture_.add("i-1", "app", app_);
    configure();
    // In a file, where a build without one of these settings skips it.
    std::ofstream(settings_) << "memory-mb = " << memory_mb << "\nmax-callers = " << max_callers
                             << '\n';
    auto started = harness::child_process::start_logging(
        std::string(EJ_PROGRAM_FOLDER) + "/endivejunction",
        {"forward", "--vm", "vm-1", "--failure-domain", "z1", "--listen", "127.0.0.1:0",
         "--ready-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--settings-file",
         settings_.string(), "--store", core::to_string(fixture_.store.address())},
        log_.path());
    if (!started.ok() || !daemon_fixture::wait_until([&] { return log_.has("callers="); })) {
        throw std::runtime_error("the daemon did not start");
    }
    process_ = *std::move(started);
    if (!daemon_fixture::wait_until([&] { return log_.has("endpoint=i-1"); })) {
        throw std::runtime_error("the daemon did not get its endpoint");
    }
}

crowded_daemon::~crowded_daemon()
{
    std::error_code ignored; // A file left behind does no harm.
    std::filesystem::remove(settings_, ignored);
}

void crowded_daemon::configure()
{
    fixture_.store.put(
        "op/config",
        R"({"version":1,"routes":[{"name":"act","host":"h.example","prefix":"/act/",)"
        R"("kind":"non_idempotent","timeoutMs":15000,"targetLatencyMs":10000,"priority":1,)"
        R"("service":"app","maxAttempts":1}],"services":[{"name":"app","healthPath":"/h",)"
        R"("maxConnections":50}],"limits":{"maxHeaderBytes":4096,"maxBodyBytes":)" +
            std::to_string(max_body_bytes) +
            R"(,"headerTimeoutMs":10000,"idleTimeoutMs":30000},)"
            R"("tenants":[{"name":"pilots","apiKeys":["k1"]}]})");
}

std::uint64_t crowded_daemon::processor_ticks() const
{
    std::ifstream file("/proc/" + std::to_string(process_->id()) + "/stat");
    std::string line;
    std::getline(file, line);
    // The fields behind the name, which is in parentheses; the first of them is the third of all.
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    constexpr int fields_before_user_time = 11;
    std::string skipped;
    for (int field = 0; field < fields_before_user_time; ++field) {
        fields >> skipped;
    }
    std::uint64_t user = 0;
    std::uint64_t system = 0;
    fields >> user >> system;
    return user + system;
}

void crowded_daemon::wait_until_quiet() const
{
    constexpr std::chrono::milliseconds interval{500};
    constexpr int most_intervals = 120; // Only bounds a hang.
    // The polling of the store and the timers take up to this much in an interval.
    constexpr std::uint64_t idle_ticks = 1;
    auto before = processor_ticks();
    for (int count = 0; count < most_intervals; ++count) {
        std::this_thread::sleep_for(interval);
        const auto ticks = processor_ticks();
        if (ticks <= before + idle_ticks) {
            return;
        }
        before = ticks;
    }
}

std::size_t crowded_daemon::peak_memory_kb() const
{
    std::ifstream status("/proc/" + std::to_string(process_->id()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0;
}

std::size_t crowded_daemon::open_descriptors() const
{
    const std::filesystem::directory_iterator listed("/proc/" + std::to_string(process_->id()) +
                                                     "/fd");
    return static_cast<std::size_t>(std::distance(begin(listed), end(listed)));
}

std::string crowded_daemon::answer_to_request(std::size_t bytes) const
{
    caller ordinary(callers());
    ordinary.send("POST /act/x HTTP/1.1\r\nHost: h.example\r\nEndivejunction-Attempt-Id: own\r\n"
                  "Authorization: Token k1\r\nEndivejunction-Deadline-Ms: 15000\r\n"
                  "Content-Length: " +
                  std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x'));
    return ordinary.read_answer();
}

std::string crowded_daemon::health() const
{
    caller balancer(ready());
    balancer.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    return balancer.read_answer();
}

int crowded_daemon::stop()
{
    process_->signal(SIGTERM);
    return process_->wait();
}

} // namespace ej::crowd_tests
