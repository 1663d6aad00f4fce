// An endpoint of the soak in its own process: an application or a model engine. It appends each run
// to a file before the run begins, so that the soak can count the runs of a killed endpoint too. On
// signals it begins to leave, or asks for a pause.

#include "crashing_part.h"
#include "endpoint_notice.h"
#include "endpoint_signals.h"

#include <fleet/endpoint_stand_in.h>

#include <boost/program_options.hpp>

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <functional>
#include <iostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace ej::soak {

namespace {

namespace po = boost::program_options;

using fleet::step;
using fleet::step_kind;

constexpr int log_mode = 0644;
constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_failed = 500;
constexpr int status_unavailable = 503;
constexpr std::chrono::milliseconds run_time{15};
constexpr std::chrono::milliseconds event_interval{10};
constexpr int events = 20;
constexpr std::chrono::milliseconds pause_time{1'500};

struct node_settings {
    std::string name;
    bool engine = false;
    bool crashes = false; ///< Crashes on a prompt part.
    bool fails = false;   ///< Each answer is a failure.
    std::string runs;
    std::string own_runs;    ///< File for the runs of endpoints like this one; empty: none.
    std::string notices;     ///< File for notices; empty: none are recorded.
    double lost_answers = 0; ///< Fraction of requests that run but get no answer.
    double surplus = 0;      ///< Fraction of answers that are sent twice.
    double shed = 0;         ///< Fraction of requests rejected as not executed.
};

class node {
public:
    explicit node(node_settings settings)
        : settings_(std::move(settings)), runs_(open_log(settings_.runs)),
          own_runs_(settings_.own_runs.empty() ? -1 : open_log(settings_.own_runs)),
          notices_(settings_.notices.empty() ? -1 : open_log(settings_.notices))
    {
    }

    /// All further answers say that this endpoint leaves.
    void leave() { leaving_ = true; }

    /// Refuses all requests for a while.
    void pause() { paused_until_ = std::chrono::steady_clock::now() + pause_time; }

    std::vector<step> answer(const std::string& request)
    {
        const auto now = std::chrono::steady_clock::now();
        record(notice_kind::arrived, request, now);
        if (const auto until = paused_until_.load(); now < until) {
            record(notice_kind::paused, request, until);
            return {{step_kind::send, refusal(request, until - now)}};
        }
        const auto expected = fleet::header_value(request, "Endivejunction-Expected-Instance");
        if (expected != settings_.name) {
            return {{step_kind::send, not_run(request, status_misdirected)}};
        }
        const bool from_copy = !fleet::header_value(request, "Kv-From").empty();
        if (from_copy || draw() < settings_.shed) {
            return {{step_kind::send, not_run(request, status_unavailable)}};
        }
        record_run(request);
        if (settings_.crashes && fleet::has_prompt_part(request, crashing_part)) {
            std::this_thread::sleep_for(run_time);
            ::_exit(crash_exit_code);
        }
        return settings_.engine ? stream(request) : short_answer(request);
    }

private:
    static int open_log(const std::string& path)
    {
        return ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_mode);
    }

    static void append(int file, const std::string& line)
    {
        if (::write(file, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
            std::cerr << "cannot append to a file of records\n";
            ::_exit(1);
        }
    }

    void record(notice_kind kind, const std::string& request, core::instant until) const
    {
        if (notices_ >= 0) {
            append(notices_, to_line({kind, settings_.name,
                                      fleet::header_value(request, "Endivejunction-Attempt-Id"),
                                      std::chrono::steady_clock::now(), until}) +
                                 "\n");
        }
    }

    /// The header line of a leaving endpoint; empty while it stays.
    std::string leaving_field(const std::string& request) const
    {
        if (!leaving_) {
            return {};
        }
        record(notice_kind::leaving, request, std::chrono::steady_clock::now());
        return "Server-Leaving: 1\r\n";
    }

    static std::string refusal(const std::string& request, core::duration pause)
    {
        const std::chrono::duration<double> seconds = pause;
        return fleet::signed_answer(request, status_unavailable, "",
                                    "Endivejunction-Not-Executed: true\r\nRetry-After: " +
                                        std::to_string(seconds.count()) + "\r\n");
    }

    double draw()
    {
        const std::scoped_lock lock(mutex_);
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    void record_run(const std::string& request) const
    {
        const auto line = fleet::header_value(request, "Endivejunction-Attempt-Id") + "\n";
        append(runs_, line);
        if (own_runs_ >= 0) {
            append(own_runs_, line);
        }
    }

    std::string not_run(const std::string& request, int status) const
    {
        return fleet::signed_answer(
            request, status, "", "Endivejunction-Not-Executed: true\r\n" + leaving_field(request));
    }

    std::vector<step> short_answer(const std::string& request)
    {
        std::vector<step> steps{{step_kind::wait, {}, run_time}};
        if (draw() < settings_.lost_answers) {
            steps.push_back({step_kind::reset});
            return steps;
        }
        const auto text = fleet::signed_answer(
            request, settings_.fails ? status_failed : status_ok,
            "answer to " + fleet::header_value(request, "Endivejunction-Attempt-Id"),
            leaving_field(request));
        steps.push_back({step_kind::send, text});
        if (draw() < settings_.surplus) {
            steps.push_back({step_kind::send, text});
        }
        return steps;
    }

    std::vector<step> stream(const std::string& request)
    {
        const auto last_event_id = fleet::header_value(request, "Last-Event-Id");
        int first = 0;
        std::from_chars(last_event_id.data(), last_event_id.data() + last_event_id.size(), first);
        std::vector<step> steps{
            {step_kind::wait, {}, run_time},
            {step_kind::send, fleet::stream_head(request, leaving_field(request))}};
        const bool connection_breaks = draw() < settings_.lost_answers;
        for (int id = first + 1; id <= events; ++id) {
            steps.push_back({step_kind::wait, {}, event_interval});
            steps.push_back({step_kind::send, fleet::event_chunk(id)});
            if (connection_breaks && id == events / 2) {
                steps.push_back({step_kind::reset});
                return steps;
            }
        }
        steps.push_back({step_kind::send, fleet::last_chunk()});
        return steps;
    }

    node_settings settings_;
    int runs_;
    int own_runs_;
    int notices_;
    std::atomic<bool> leaving_{false};
    std::atomic<core::instant> paused_until_{core::instant{}};
    std::mutex mutex_;
    std::mt19937 random_{std::random_device{}()};
};

node_settings parse_settings(int argc, char** argv)
{
    node_settings settings;
    po::options_description options;
    options.add_options()("name", po::value(&settings.name)->required())(
        "engine", po::bool_switch(&settings.engine))("crashes", po::bool_switch(&settings.crashes))(
        "fails", po::bool_switch(&settings.fails))("own-runs", po::value(&settings.own_runs))(
        "runs", po::value(&settings.runs)->required())("notices", po::value(&settings.notices))(
        "lost-answers", po::value(&settings.lost_answers))("surplus", po::value(&settings.surplus))(
        "shed", po::value(&settings.shed));
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    return settings;
}

int run(int argc, char** argv)
{
    // Blocked in all threads: `sigwait` takes them.
    sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, leave_signal);
    ::sigaddset(&signals, pause_signal);
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    node this_node(parse_settings(argc, argv));
    const fleet::endpoint_stand_in endpoint(
        [&](const std::string& request, int) { return this_node.answer(request); });
    std::cout << "listening " << core::to_string(endpoint.address()) << '\n' << std::flush;
    // Runs until the soak ends this process with a signal.
    for (;;) {
        int received = 0;
        ::sigwait(&signals, &received);
        if (received == leave_signal) {
            this_node.leave();
        }
        else if (received == pause_signal) {
            this_node.pause();
        }
    }
}

} // namespace

} // namespace ej::soak

int main(int argc, char** argv)
{
    return ej::soak::run(argc, argv);
}
