// A request that crashes each worker that runs it comes again after the daemons have been stopped
// and started in turn.

#include "../support/caller.h"
#include "../support/config.h"
#include "../support/daemon.h"
#include "../support/store.h"
#include "../support/worker.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>

namespace {

using namespace review;

constexpr const char* service = "booking-app";
constexpr const char* crashing_body = "this body crashes the worker";
constexpr int slots = 6;
constexpr milliseconds work_time{15};
constexpr milliseconds down_time{2'000};
constexpr milliseconds contact{3'000}; // bounds.contactMs
constexpr int allowed_retries = 3;

class booking_worker final : public worker {
public:
    booking_worker(const std::string& zone, int number, store& platform, record& log,
                   std::atomic<int>& crashes)
        : worker({service, zone, slots}, platform, log,
                 "booking-" + zone + "-" + std::to_string(number)),
          crashes_(crashes), supervisor_([this] { restart_after_crashes(); })
    {
    }

    ~booking_worker() override
    {
        over_ = true;
        supervisor_.join();
        stop();
    }

protected:
    bool answer(const message& request, connection& peer) override
    {
        const auto id = request.value("Endivejunction-Attempt-Id");
        if (request.body == crashing_body) {
            ++crashes_;
            log_.line(name() + " runs the crashing request " + id);
            crash_due_ = true;
            while (!peer.ended() && !over_) {
                std::this_thread::sleep_for(milliseconds(1));
            }
            return false;
        }
        std::this_thread::sleep_for(work_time);
        return !crash_due_ && peer.write(worker_answer(request, 200, "done"));
    }

private:
    void restart_after_crashes()
    {
        while (!over_) {
            std::this_thread::sleep_for(milliseconds(2));
            if (!crash_due_) {
                continue;
            }
            crash();
            std::this_thread::sleep_for(down_time);
            crash_due_ = false;
            start();
        }
    }

    std::atomic<int>& crashes_;
    std::atomic<bool> crash_due_{false};
    std::atomic<bool> over_{false};
    std::thread supervisor_;
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
                 config_text(route_text("confirm", "non_idempotent", service, 1'500, 150, 1),
                             service_text(service)));
    std::atomic<int> crashes{0};
    std::vector<std::unique_ptr<booking_worker>> workers;
    for (const std::string zone : {"a", "b", "c"}) {
        for (int number = 1; number <= 2; ++number) {
            workers.push_back(
                std::make_unique<booking_worker>(zone, number, platform, log, crashes));
            if (!workers.back()->start()) {
                std::_Exit(2);
            }
        }
    }
    std::vector<std::unique_ptr<entry_daemon>> daemons;
    for (const std::string zone : {"a", "b", "c"}) {
        daemons.push_back(std::make_unique<entry_daemon>("edge-" + zone, zone, platform.port(), 195,
                                                         folder, log));
        daemons.back()->start();
    }
    for (const auto& one : daemons) {
        if (!one->wait_ready(milliseconds(8'000))) {
            std::_Exit(2);
        }
    }
    std::this_thread::sleep_for(milliseconds(3'500));

    std::atomic<bool> over{false};
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> callers;
    for (const auto& one : daemons) {
        callers.emplace_back([&, &to = *one] {
            std::mt19937 random(std::random_device{}());
            while (!over) {
                std::this_thread::sleep_for(
                    milliseconds(std::uniform_int_distribution<>(100, 300)(random)));
                if (!to.ready()) {
                    continue;
                }
                const call made{"POST", "/confirm/1", new_id(), api_key, new_id(), 1'500, ""};
                const auto answer = send_call(to.front(), made);
                const int status = answer ? answer->status() : 0;
                served += status == 200 ? 1 : 0;
                lost += status == 502 || status == 504 ? 1 : 0;
                if (status != 200) {
                    log.line("another request, " + made.id + ", gets " + std::to_string(status));
                }
            }
        });
    }
    const auto send_crashing = [&](const entry_daemon& to) {
        const call made{"POST", "/confirm/7", new_id(), api_key, crashing_body, 1'500, ""};
        log.line("the crashing request comes as " + made.id + " to " + to.name());
        const auto answer = send_call(to.front(), made);
        const int status = answer ? answer->status() : 0;
        log.line("the crashing request " + made.id + " gets " + std::to_string(status));
        return status;
    };

    // It comes until every daemon refuses it.
    int refusals = 0;
    for (int turn = 0; turn < 40 && refusals < 6; ++turn) {
        const int status = send_crashing(*daemons[static_cast<std::size_t>(turn % 3)]);
        refusals = status == 503 ? refusals + 1 : 0;
        std::this_thread::sleep_for(milliseconds(300));
    }
    const int before = crashes;
    log.line("crashes before: " + std::to_string(before));
    std::this_thread::sleep_for(contact + milliseconds(1'000));

    for (const auto& one : daemons) {
        if (trouble) {
            log.line("SIGTERM to " + one->name());
            one->signal(SIGTERM);
            one->wait_for_end(milliseconds(8'000)); // bounds.graceS
            std::this_thread::sleep_for(milliseconds(300));
            one->start();
            if (!one->wait_ready(milliseconds(8'000))) {
                std::_Exit(2);
            }
        }
        // From then on the machine is in touch again.
        std::this_thread::sleep_for(contact + milliseconds(500));
        for (int turn = 0; turn < 8; ++turn) {
            send_crashing(*one);
            std::this_thread::sleep_for(milliseconds(1'200));
        }
    }
    over = true;
    for (auto& one : callers) {
        one.join();
    }
    const int retries = crashes - before;
    char text[200];
    std::snprintf(text, sizeof text,
                  "crashed workers before %d; reached workers again %d times (allowed %d); other "
                  "requests served %d, lost %d",
                  before, retries, allowed_retries, served.load(), lost.load());
    log.line(text);
    daemons.clear();
    std::puts(text);
    std::fflush(stdout);
    if (before < 3 || served == 0) {
        std::_Exit(2);
    }
    std::_Exit(retries > allowed_retries ? 1 : 0);
}
