// An endpoint of the soak in its own process: an application or a model engine. It appends each run
// to a file before the run begins, so that the soak can count the runs of a killed endpoint too.

#include "crashing_part.h"

#include <fleet/endpoint_stand_in.h>

#include <boost/program_options.hpp>

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
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
constexpr std::chrono::milliseconds run_time{15};
constexpr std::chrono::milliseconds event_interval{10};
constexpr int events = 20;

struct node_settings {
    std::string name;
    bool engine = false;
    bool crashes = false; ///< Crashes on a prompt part.
    std::string runs;
    double lost_answers = 0; ///< Fraction of requests that run but get no answer.
    double surplus = 0;      ///< Fraction of answers that are sent twice.
    double shed = 0;         ///< Fraction of requests rejected as not executed.
};

class node {
public:
    explicit node(node_settings settings)
        : settings_(std::move(settings)),
          runs_(::open(settings_.runs.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_mode))
    {
    }

    std::vector<step> answer(const std::string& request)
    {
        const auto expected = fleet::header_value(request, "Endivejunction-Expected-Instance");
        if (expected != settings_.name) {
            return {{step_kind::send, not_run(request, 421)}};
        }
        const bool from_copy = !fleet::header_value(request, "Kv-From").empty();
        if (from_copy || draw() < settings_.shed) {
            return {{step_kind::send, not_run(request, 503)}};
        }
        record_run(request);
        if (settings_.crashes && fleet::has_prompt_part(request, crashing_part)) {
            std::this_thread::sleep_for(run_time);
            ::_exit(crash_exit_code);
        }
        return settings_.engine ? stream(request) : short_answer(request);
    }

private:
    double draw()
    {
        const std::scoped_lock lock(mutex_);
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    void record_run(const std::string& request) const
    {
        const auto line = fleet::header_value(request, "Endivejunction-Attempt-Id") + "\n";
        if (::write(runs_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
            std::cerr << "cannot append the run to the file of runs\n";
            ::_exit(1);
        }
    }

    static std::string not_run(const std::string& request, int status)
    {
        return fleet::signed_answer(request, status, "", "Endivejunction-Not-Executed: true\r\n");
    }

    std::vector<step> short_answer(const std::string& request)
    {
        std::vector<step> steps{{step_kind::wait, {}, run_time}};
        if (draw() < settings_.lost_answers) {
            steps.push_back({step_kind::reset});
            return steps;
        }
        const auto text = fleet::signed_answer(
            request, 200, "answer to " + fleet::header_value(request, "Endivejunction-Attempt-Id"));
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
        std::vector<step> steps{{step_kind::wait, {}, run_time},
                                {step_kind::send, fleet::stream_head(request)}};
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
    std::mutex mutex_;
    std::mt19937 random_{std::random_device{}()};
};

node_settings parse_settings(int argc, char** argv)
{
    node_settings settings;
    po::options_description options;
    options.add_options()("name", po::value(&settings.name)->required())(
        "engine", po::bool_switch(&settings.engine))("crashes", po::bool_switch(&settings.crashes))(
        "runs", po::value(&settings.runs)->required())("lost-answers",
                                                       po::value(&settings.lost_answers))(
        "surplus", po::value(&settings.surplus))("shed", po::value(&settings.shed));
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    return settings;
}

int run(int argc, char** argv)
{
    node this_node(parse_settings(argc, argv));
    const fleet::endpoint_stand_in endpoint(
        [&](const std::string& request, int) { return this_node.answer(request); });
    std::cout << "listening " << core::to_string(endpoint.address()) << '\n' << std::flush;
    // Runs until the soak ends this process with a signal.
    for (;;) {
        ::pause();
    }
}

} // namespace

} // namespace ej::soak

int main(int argc, char** argv)
{
    return ej::soak::run(argc, argv);
}
