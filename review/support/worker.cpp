#include "worker.h"

#include <nlohmann/json.hpp>

namespace review {

namespace {

constexpr milliseconds check_in_interval{1'200};

} // namespace

worker::worker(worker_settings settings, store& platform, record& log, std::string name)
    : server(free_port()), log_(log), settings_(std::move(settings)), platform_(platform),
      name_(std::move(name))
{
    beats_ = std::thread([this] {
        while (!ending_) {
            std::this_thread::sleep_for(milliseconds(20));
            const std::scoped_lock lock(id_mutex_);
            const auto since = steady::now() - last_check_in_;
            if (running_ && registered_ && since >= check_in_interval) {
                check_in();
            }
            if (!lapsing_.empty() && since >= 3 * check_in_interval) {
                platform_.remove("servers/" + lapsing_);
                lapsing_.clear();
            }
        }
    });
}

worker::~worker()
{
    ending_ = true;
    beats_.join();
    close(false);
}

std::string worker::id() const
{
    const std::scoped_lock lock(id_mutex_);
    return id_;
}

void worker::check_in()
{
    last_check_in_ = steady::now();
    const nlohmann::json entry{{"service", settings_.service},
                               {"address", "127.0.0.1:" + std::to_string(port())},
                               {"zone", settings_.zone},
                               {"version", "v1"},
                               {"slots", settings_.slots},
                               {"state", "ready"},
                               {"coldRemainingMs", 0},
                               {"sequence", ++sequence_},
                               {"born", born_}};
    platform_.put("servers/" + id_, entry.dump());
}

bool worker::start()
{
    if (!open()) {
        return false;
    }
    const std::scoped_lock lock(id_mutex_);
    if (!lapsing_.empty()) {
        platform_.remove("servers/" + lapsing_);
        lapsing_.clear();
    }
    id_ = "i-" + name_ + "-" + std::to_string(++boot_);
    sequence_ = 0;
    born_ = std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    running_ = registered_ = true;
    check_in();
    log_.line("worker " + name_ + " starts as " + id_);
    return true;
}

void worker::crash()
{
    {
        const std::scoped_lock lock(id_mutex_);
        running_ = false;
        lapsing_ = id_;
    }
    log_.line("worker " + name_ + " (" + id() + ") crashes");
    close(true);
}

void worker::leave_silently()
{
    const std::scoped_lock lock(id_mutex_);
    registered_ = false;
    platform_.remove("servers/" + id_);
    log_.line("worker " + name_ + ": entry removed, acknowledged by the store");
}

void worker::stop()
{
    running_ = false;
    close(true);
    log_.line("worker " + name_ + " ends");
}

void worker::serve(connection& peer)
{
    serve_requests(peer);
    ended(peer);
}

void worker::serve_requests(connection& peer)
{
    while (!closing()) {
        const auto request = peer.read_request(steady::now() + std::chrono::hours(1));
        if (!request) {
            return;
        }
        before(*request, peer);
        if (request->target() == "/healthz") {
            peer.write("HTTP/1.1 200 OK\r\nEndivejunction-Instance-Id: " + id() +
                       "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        const auto expected = request->value("Endivejunction-Expected-Instance");
        if (!expected.empty() && expected != id()) {
            peer.write(rejection(*request, 421));
            continue;
        }
        if (!answer(*request, peer)) {
            return;
        }
    }
}

std::string worker_answer(const message& request, int status, const std::string& body,
                          const std::string& more)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nEndivejunction-Attempt-Id: " + request.value("Endivejunction-Attempt-Id") +
           "\r\nEndivejunction-Response-Signature: proof\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string rejection(const message& request, int status, const std::string& more)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nEndivejunction-Attempt-Id: " + request.value("Endivejunction-Attempt-Id") +
           "\r\nEndivejunction-Not-Executed: 1\r\n" + more + "Content-Length: 0\r\n\r\n";
}

} // namespace review
