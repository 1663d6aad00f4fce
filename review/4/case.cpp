// The callers of one zone send requests of nearly the largest size that the configuration allows.
// A process that exceeds its memory is killed and started again, as by the platform.

#include "../support/caller.h"
#include "../support/config.h"
#include "../support/daemon.h"
#include "../support/store.h"
#include "../support/worker.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace {

using namespace review;

constexpr const char* service = "report-app";
constexpr int slots = 64;
constexpr milliseconds work_time{1'000};
constexpr int memory_limit_mb = 195;          // limits.memoryMb
constexpr std::size_t body_bytes = 4'000'000; // Below limits.maxBodyBytes, 4,194,304.
constexpr std::size_t usual_body_bytes = 10'000;
constexpr int callers_of_a_zone = 28;
constexpr int waves = 3;

class report_worker final : public worker {
public:
    report_worker(const std::string& zone, store& platform, record& log)
        : worker({service, zone, slots}, platform, log, "report-" + zone)
    {
    }
    ~report_worker() override { stop(); }

    std::atomic<int> runs{0};

protected:
    bool answer(const message& request, connection& peer) override
    {
        ++runs;
        log_.line(name() + " runs " + request.value("Endivejunction-Attempt-Id") + ", body of " +
                  std::to_string(request.body.size()) + " bytes");
        std::this_thread::sleep_for(work_time);
        return peer.write(worker_answer(request, 200, "done"));
    }
};

struct watched {
    std::unique_ptr<entry_daemon> process;
    int kills = 0;
    double peak_mb = 0;
};

} // namespace

int main(int argc, char** argv)
{
    const bool trouble = argc > 2 && std::string(argv[2]) == "1";
    const std::string folder = argv[1];
    record log(std::getenv("RECORD"));
    store platform(free_port(), log);
    if (!platform.open()) {
        return 2;
    }
    platform.put("op/config",
                 config_text(route_text("report", "non_idempotent", service, 8'000, 3'000, 1),
                             service_text(service)));
    std::vector<std::unique_ptr<report_worker>> workers;
    for (const std::string zone : {"a", "b", "c"}) {
        workers.push_back(std::make_unique<report_worker>(zone, platform, log));
        if (!workers.back()->start()) {
            std::_Exit(2);
        }
    }
    std::vector<watched> daemons;
    for (const std::string zone : {"a", "b", "c"}) {
        daemons.push_back({std::make_unique<entry_daemon>("edge-" + zone, zone, platform.port(),
                                                          memory_limit_mb, folder, log)});
        daemons.back().process->start();
    }
    for (const auto& one : daemons) {
        if (!one.process->wait_ready(milliseconds(8'000))) {
            std::_Exit(2);
        }
    }
    std::this_thread::sleep_for(milliseconds(3'500));

    std::atomic<bool> over{false};
    std::thread platform_guard([&] {
        while (!over) {
            std::this_thread::sleep_for(milliseconds(5));
            for (watched& one : daemons) {
                const double used = one.process->memory_mb();
                one.peak_mb = std::max(one.peak_mb, used);
                if (used <= memory_limit_mb) {
                    continue;
                }
                ++one.kills;
                log.line(one.process->name() + " uses " + std::to_string(used) +
                         " MB of memory and is killed");
                one.process->signal(SIGKILL);
                one.process->wait_for_end(milliseconds(1'000));
                std::this_thread::sleep_for(milliseconds(300));
                one.process->start();
            }
        }
    });

    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    const auto send = [&](const entry_daemon& to, std::size_t bytes) {
        const call made{"POST", "/report/1", new_id(), api_key, std::string(bytes, 'x'), 8'000, ""};
        log.line("caller sends " + made.id + ", " + std::to_string(bytes) + " bytes, to " +
                 to.name());
        const auto answer = send_call(to.front(), made);
        const int status = answer ? answer->status() : 0;
        served += status == 200 ? 1 : 0;
        lost += status == 200 || status == 503 ? 0 : 1;
        log.line("caller of " + made.id +
                 (answer ? " gets " + std::to_string(status) : " gets no answer"));
    };
    for (int wave = 0; wave < waves; ++wave) {
        for (std::size_t zone = 0; zone < 2; ++zone) {
            const auto& to = *daemons[zone].process;
            if (!to.wait_ready(milliseconds(8'000))) {
                std::_Exit(2);
            }
            std::this_thread::sleep_for(milliseconds(3'500));
            std::vector<std::thread> callers;
            for (int number = 0; number < callers_of_a_zone; ++number) {
                callers.emplace_back([&] { send(to, trouble ? body_bytes : usual_body_bytes); });
            }
            for (auto& one : callers) {
                one.join();
            }
        }
    }
    over = true;
    platform_guard.join();
    int often_killed = 0;
    for (const watched& one : daemons) {
        often_killed += one.kills >= 3 ? 1 : 0;
        char text[100];
        std::snprintf(text, sizeof text, "%s: most memory %.0f MB, killed %d times",
                      one.process->name().c_str(), one.peak_mb, one.kills);
        log.line(text);
        std::puts(text);
    }
    char text[100];
    std::snprintf(text, sizeof text, "requests served %d, lost %d", served.load(), lost.load());
    log.line(text);
    std::puts(text);
    daemons.clear();
    std::fflush(stdout);
    if (!trouble && served == 0) {
        std::_Exit(2);
    }
    std::_Exit(often_killed >= 2 ? 1 : 0);
}
