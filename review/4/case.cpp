// A requester sends a request whose body holds the text of a second request, and names a transfer
// coding that doesn't end with "chunked", so that the body's length can't be known.

#include "../support/caller.h"
#include "../support/config.h"
#include "../support/daemon.h"
#include "../support/store.h"
#include "../support/worker.h"

#include <cstdio>
#include <cstdlib>
#include <map>

namespace {

using namespace review;

constexpr const char* service = "booking-app";
constexpr int slots = 6;
constexpr milliseconds work_time{15};
constexpr int rounds = 5;

class booking_worker final : public worker {
public:
    booking_worker(const std::string& zone, store& platform, record& log)
        : worker({service, zone, slots}, platform, log, "booking-" + zone)
    {
    }
    ~booking_worker() override { stop(); }

    /// The bodies of all runs, by attempt id.
    std::map<std::string, std::string> runs()
    {
        const std::scoped_lock lock(mutex_);
        return runs_;
    }

protected:
    bool answer(const message& request, connection& peer) override
    {
        const auto id = request.value("Endivejunction-Attempt-Id");
        log_.line(name() + " runs " + id + " (" + request.start + ") with a body of " +
                  std::to_string(request.body.size()) + " bytes");
        {
            const std::scoped_lock lock(mutex_);
            runs_[id] = request.body;
        }
        std::this_thread::sleep_for(work_time);
        return peer.write(worker_answer(request, 200, "done"));
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::string> runs_;
};

struct sent_request {
    std::string id;
    std::string inner_id; ///< Named in the body only.
    std::string body;
    int answers = 0;
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
    std::vector<std::unique_ptr<booking_worker>> workers;
    for (const std::string zone : {"a", "b", "c"}) {
        workers.push_back(std::make_unique<booking_worker>(zone, platform, log));
        if (!workers.back()->start()) {
            std::_Exit(2);
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

    std::vector<sent_request> all;
    for (int round = 0; round < rounds; ++round) {
        for (const auto& to : daemons) {
            sent_request one{new_id(), new_id(), "", 0};
            one.body = request_text({"POST", "/confirm/9", one.inner_id, api_key, "", 1'500, ""});
            std::string text = "POST /confirm/1 HTTP/1.1\r\nHost: review.example\r\n"
                               "Endivejunction-Attempt-Id: " +
                               one.id +
                               "\r\nEndivejunction-Deadline-Ms: 1500\r\nAuthorization: Token " +
                               api_key + "\r\n";
            text += trouble ? std::string("Transfer-Encoding: chunked, identity\r\n")
                            : "Content-Length: " + std::to_string(one.body.size()) + "\r\n";
            connection peer(connect_to(to->front()));
            log.line("caller sends one request, " + one.id + ", to " + to->name() +
                     "; its body names " + one.inner_id);
            peer.write(text + "\r\n" + one.body);
            while (const auto answer = peer.read_answer(steady::now() + milliseconds(700))) {
                ++one.answers;
                log.line("caller of " + one.id + " gets " + std::to_string(answer->status()) +
                         " for " + answer->value("Endivejunction-Attempt-Id"));
            }
            all.push_back(one);
        }
    }
    std::map<std::string, std::string> runs;
    for (const auto& one : workers) {
        runs.merge(one->runs());
    }
    int smuggled = 0;
    int changed = 0;
    int surplus = 0;
    int served = 0;
    for (const sent_request& one : all) {
        smuggled += runs.contains(one.inner_id) ? 1 : 0;
        served += runs.contains(one.id) ? 1 : 0;
        changed += runs.contains(one.id) && runs[one.id] != one.body ? 1 : 0;
        surplus += one.answers > 1 ? 1 : 0;
    }
    char text[200];
    std::snprintf(text, sizeof text,
                  "requests %zu, run %d; run with another body %d; run though only named in a "
                  "body %d; callers with a second answer %d",
                  all.size(), served, changed, smuggled, surplus);
    log.line(text);
    daemons.clear();
    std::puts(text);
    std::fflush(stdout);
    if (!trouble && served == 0) {
        std::_Exit(2);
    }
    std::_Exit(smuggled > 0 ? 1 : 0);
}
