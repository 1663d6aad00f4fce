// A full worker sends its rejection twice; the second copy comes late, where the next answer on
// that connection is due. The daemon offers the same request again over that connection.

#include "../support/caller.h"
#include "../support/config.h"
#include "../support/daemon.h"
#include "../support/store.h"
#include "../support/worker.h"

#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>

namespace {

using namespace review;

constexpr const char* service = "booking-app";
constexpr int slots = 1;
constexpr int queue = 1;
constexpr milliseconds work_time{80};

// The garbled periods: `garble`, how = "extra late", with the largest x and for_s of the site.
constexpr double share_of_answers = 0.05;
constexpr double period_s = 5.5;
constexpr double pause_s = 1.0;
constexpr int periods = 12;

/// Runs and rejections by attempt id.
class run_counts {
public:
    void ran(const std::string& id)
    {
        const std::scoped_lock lock(mutex_);
        ++runs_[id];
    }

    int of(const std::string& id)
    {
        const std::scoped_lock lock(mutex_);
        return runs_[id];
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> runs_;
};

class booking_worker final : public worker {
public:
    booking_worker(const std::string& zone, store& platform, record& log, run_counts& counts,
                   const std::atomic<bool>& garbles)
        : worker({service, zone, slots}, platform, log, "booking-" + zone), counts_(counts),
          garbles_(garbles)
    {
    }

protected:
    void before(const message&, connection& peer) override
    {
        // A copy of an earlier answer comes where the next answer is due.
        std::string late;
        {
            const std::scoped_lock lock(mutex_);
            late.swap(late_copies_[&peer]);
        }
        if (!late.empty()) {
            log_.line(name() + " sends a late second copy of its 503 to " +
                      late.substr(late.find("Id: ") + 4, 16));
            peer.write(late);
        }
    }

    void ended(connection& peer) override
    {
        const std::scoped_lock lock(mutex_);
        late_copies_.erase(&peer);
    }

    bool answer(const message& request, connection& peer) override
    {
        const auto id = request.value("Endivejunction-Attempt-Id");
        {
            std::unique_lock lock(mutex_);
            if (taken_ >= slots + queue) {
                lock.unlock();
                log_.line(name() + " rejects " + id);
                const auto text = rejection(request, 503, "Retry-After: 0.1\r\n");
                const bool sent = peer.write(text);
                copy_later(text, peer);
                return sent;
            }
            ++taken_;
            freed_.wait(lock, [this] { return running_ < slots; });
            ++running_;
        }
        counts_.ran(id);
        log_.line(name() + " runs " + id);
        std::this_thread::sleep_for(work_time);
        const bool sent = !peer.closed_by_peer() && peer.write(worker_answer(request, 200, "done"));
        {
            const std::scoped_lock lock(mutex_);
            --running_;
            --taken_;
            freed_.notify_one();
        }
        log_.line(name() + (sent ? " has ended " : " was cut in ") + id);
        return sent;
    }

private:
    void copy_later(const std::string& text, connection& peer)
    {
        const std::scoped_lock lock(mutex_);
        if (garbles_ && std::uniform_real_distribution<>(0, 1)(random_) < share_of_answers) {
            late_copies_[&peer] = text;
        }
    }

    run_counts& counts_;
    const std::atomic<bool>& garbles_;
    std::mutex mutex_;
    std::condition_variable freed_;
    int taken_ = 0;
    int running_ = 0;
    std::map<const connection*, std::string> late_copies_;
    std::mt19937 random_{std::random_device{}()};
};

struct outcome {
    std::string id;
    int status = 0;
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
    run_counts counts;
    std::atomic<bool> garbles{false};
    const std::atomic<bool> sound{false};
    // `garble` strikes a share of 0.6 at most: one of the two.
    booking_worker first("a", platform, log, counts, garbles);
    booking_worker second("b", platform, log, counts, sound);
    if (!first.start() || !second.start()) {
        return 2;
    }
    std::vector<std::unique_ptr<entry_daemon>> daemons;
    for (const std::string zone : {"a", "b", "c", "a", "b", "c"}) {
        const auto name = "edge-" + zone + "-" + std::to_string(daemons.size());
        daemons.push_back(
            std::make_unique<entry_daemon>(name, zone, platform.port(), 195, folder, log));
        daemons.back()->start();
    }
    for (const auto& one : daemons) {
        if (!one->wait_ready(milliseconds(8'000))) {
            return 2;
        }
    }
    std::this_thread::sleep_for(milliseconds(3'500));

    std::atomic<bool> over{false};
    std::mutex mutex;
    std::vector<outcome> outcomes;
    std::vector<std::thread> callers;
    // A caller a daemon; all come at nearly the same time, and again after `interval`.
    constexpr milliseconds interval{300};
    const auto begin = steady::now();
    for (const auto& one : daemons) {
        callers.emplace_back([&, &to = *one] {
            std::mt19937 random(std::random_device{}());
            for (int turn = 1; !over; ++turn) {
                std::this_thread::sleep_until(
                    begin + turn * interval +
                    milliseconds(std::uniform_int_distribution<>(0, 5)(random)));
                call made{"POST", "/confirm/1", new_id(), api_key, "", 1'500, ""};
                log.line("caller sends " + made.id + " to " + to.name());
                const auto answer = send_call(to.front(), made);
                const int status = answer ? answer->status() : 0;
                log.line("caller of " + made.id + " gets " + std::to_string(status) +
                         (answer && answer->complete ? "" : ", not complete"));
                const std::scoped_lock lock(mutex);
                outcomes.push_back({made.id, status});
            }
        });
    }
    for (int period = 0; period < periods; ++period) {
        garbles = trouble;
        std::this_thread::sleep_for(std::chrono::duration<double>(period_s));
        garbles = false;
        std::this_thread::sleep_for(std::chrono::duration<double>(pause_s));
    }
    over = true;
    for (auto& one : callers) {
        one.join();
    }
    std::this_thread::sleep_for(milliseconds(500));
    int twice = 0;
    int refused = 0;
    int served = 0;
    for (const outcome& one : outcomes) {
        const int runs = counts.of(one.id);
        const bool promised =
            one.status == 503 || one.status == 429 || one.status == 408 || one.status == 421;
        served += one.status == 200 ? 1 : 0;
        if (runs > 1) {
            ++twice;
            log.line("TWICE: " + one.id + " ran " + std::to_string(runs) + " times");
        }
        if (promised && runs > 0) {
            ++refused;
            log.line("REFUSED: " + one.id + " was answered " + std::to_string(one.status) +
                     " and ran " + std::to_string(runs) + " times");
        }
    }
    log.line("requests " + std::to_string(outcomes.size()) + ", served " + std::to_string(served) +
             ", run twice " + std::to_string(twice) + ", refused though run " +
             std::to_string(refused));
    daemons.clear();
    std::printf("requests %zu, served %d, run twice %d, refused though run %d\n", outcomes.size(),
                served, twice, refused);
    std::fflush(stdout);
    if (served == 0) {
        std::_Exit(2);
    }
    std::_Exit(twice + refused > 0 ? 1 : 0);
}
