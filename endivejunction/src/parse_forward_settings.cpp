#include "parse_forward_settings.h"

#include "descriptor_limit.h"
#include "settings_reader.h"

#include <forwarding/endpoint_choice.h>
#include <overload/placement_policy.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace ej {

namespace {

namespace options = boost::program_options;

constexpr std::size_t max_lanes = 64;
constexpr std::size_t default_memory_mb = 512;
constexpr std::size_t max_memory_mb = 1'000'000;
constexpr std::size_t bytes_per_mb = std::size_t{1} << 20;
// A buffer takes up to twice its size as it grows, and an answer is copied as it is sent.
constexpr std::size_t answer_memory_divisor = 8;
// Requests are held once and small ones may take half as much again, so that answers and the daemon
// itself fit beside them.
constexpr std::size_t caller_memory_divisor = 4;
constexpr std::size_t bytes_per_caller = std::size_t{64} << 10;
constexpr std::size_t max_callers = 1'000'000;
constexpr unsigned max_interval_ms = 60'000;
constexpr unsigned max_grace_ms = 3'600'000;
constexpr double max_ratio = 100;
constexpr double max_allowance = 1e9;
constexpr double ms_per_second = 1'000;

options::options_description description()
{
    options::options_description all(
        "Settings (flags, environment variables EJ_FLAG_NAME, or 'name = value' in a file)");
    const auto text = [] { return options::value<std::string>(); };
    const auto with_default = [](const char* value) {
        return options::value<std::string>()->default_value(value);
    };
    const auto ms = [](unsigned value) { return options::value<unsigned>()->default_value(value); };
    const auto number = [](double value) { return options::value<double>()->default_value(value); };
    auto add = all.add_options();
    add("help", "show this help");
    add("settings-file", with_default(""), "file with further settings");
    add("settings-file-in", with_default(""),
        "environment variable that holds the path of that file");
    add("site", with_default("fleet"), "platform: fleet");
    add("vm", text(), "name of this VM");
    add("failure-domain", text(), "failure domain of this VM");
    add("listen", with_default("127.0.0.1:8080"), "HOST:PORT for callers; port 0: any");
    add("ready-listen", with_default("127.0.0.1:8081"),
        "HOST:PORT for the load balancer and for metrics (/metrics); port 0: any");
    add("peer-listen", with_default("127.0.0.1:8082"),
        "HOST:PORT for datagrams of the other daemons");
    add("ready-path", with_default("/ready"), "path of the load balancer's health check");
    add("store", text(), "HOST:PORT of the platform's store");
    add("store-deadline-ms", ms(1'000), "longest time of a call to the store");
    add("apply-ms", ms(2'000), "longest time until a change of the configuration is in force");
    add("drain-ms", ms(2'000), "longest time until a leaving endpoint gets no new requests");
    add("grace-s", number(8), "longest time from SIGTERM to exit, in s");
    add("lease-ms", ms(10'000), "time to live of this daemon's entry in the store");
    add("choice", with_default("first_output"),
        "choice of an endpoint: first_output, fewest_requests or round_robin");
    add("placement", with_default("memory"),
        "where generations run: memory (engines that have room for them) or at_once");
    add("backups", options::value<bool>()->default_value(true),
        "ask engines to keep copies of running requests at other engines");
    add("memory-mb", options::value<std::size_t>()->default_value(default_memory_mb),
        "memory of this VM in MB; buffered answers may take an eighth, callers' requests a "
        "quarter");
    add("max-callers", options::value<std::size_t>()->default_value(0),
        "most connections of callers; 0: half of the descriptors, and one for 64 KB of a quarter "
        "of the memory");
    add("lanes", options::value<std::size_t>()->default_value(front::default_lanes),
        "threads that serve callers, 1 to 64");
    add("budget-ratio", number(0.2), "repeated sends per request, all daemons together");
    add("budget-allowance", number(10), "repeated sends on top of the ratio, all daemons together");
    add("budget-window-s", number(10),
        "sliding window to which the ratio and the allowance apply, in s");
    add("rollout-share", number(0.1),
        "share of a service's requests that a new version gets until it is known to be good");
    add("rollout-requests", number(50), "requests that it gets on top of the share");
    add("log-level", with_default("info"), "debug, info, warn or error");
    return all;
}

core::duration seconds_of(double count)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(count * ms_per_second));
}

/// The settings file's path, from `settings-file` or the variable named by `settings-file-in`.
std::string settings_file_path(const options::variables_map& values)
{
    const auto& variable = values["settings-file-in"].as<std::string>();
    const char* const path = variable.empty() ? nullptr : std::getenv(variable.c_str());
    return path == nullptr ? values["settings-file"].as<std::string>() : std::string(path);
}

bool read_file(const std::string& path, const options::options_description& known,
               options::variables_map& values, core::findings& faults)
{
    std::ifstream file(path);
    if (!file) {
        faults.add(path, "cannot be read");
        return false;
    }
    constexpr bool skip_unknown = true;
    options::store(options::parse_config_file(file, known, skip_unknown), values);
    return true;
}

std::size_t read_max_callers(const options::variables_map& values, std::size_t caller_memory,
                             core::findings& faults)
{
    const auto given = values["max-callers"].as<std::size_t>();
    if (given > max_callers) {
        faults.add("--max-callers", "must be 0 to " + std::to_string(max_callers));
    }
    // The other half is left for endpoints, the store and the health check.
    return given > 0 ? given
                     : std::max<std::size_t>(
                           std::min(descriptor_limit() / 2, caller_memory / bytes_per_caller), 1);
}

void read_front(settings_reader& read, const options::variables_map& values,
                front::front_settings& front, core::findings& faults)
{
    front.vm = core::vm_id(read.text("vm"));
    front.domain = core::failure_domain_id(read.text("failure-domain"));
    front.listen = read.address("listen");
    front.ready_listen = read.address("ready-listen");
    front.peer_listen = read.address("peer-listen");
    front.ready_path = read.text("ready-path");
    front.store = read.address("store");
    front.store_deadline = read.milliseconds("store-deadline-ms", max_interval_ms);
    front.apply_within = std::min(read.milliseconds("apply-ms", max_interval_ms),
                                  read.milliseconds("drain-ms", max_interval_ms));
    front.confirmed_within = read.milliseconds("apply-ms", max_interval_ms);
    front.grace = seconds_of(read.fraction("grace-s", max_grace_ms / ms_per_second));
    front.lease = read.milliseconds("lease-ms", max_interval_ms);
    front.choice = read.text("choice");
    if (forwarding::make_choice(front.choice) == nullptr) {
        faults.add("--choice", "'" + front.choice + "' is unknown");
    }
    front.placement = read.text("placement");
    if (overload::make_placement(front.placement) == nullptr) {
        faults.add("--placement", "'" + front.placement + "' is unknown");
    }
    front.backups = values["backups"].as<bool>();
    const auto memory = read.number<std::size_t>("memory-mb", max_memory_mb) * bytes_per_mb;
    front.answer_memory = memory / answer_memory_divisor;
    front.caller_memory = memory / caller_memory_divisor;
    front.max_callers = read_max_callers(values, front.caller_memory, faults);
    front.lanes = read.number<std::size_t>("lanes", max_lanes);
    front.budget = {read.fraction("budget-ratio", max_ratio),
                    read.fraction("budget-allowance", max_allowance),
                    seconds_of(read.fraction("budget-window-s", max_interval_ms / ms_per_second))};
    front.rollouts = {read.fraction("rollout-share", 1),
                      read.fraction("rollout-requests", max_allowance)};
}

} // namespace

forward_settings parse_forward_settings(std::span<const std::string> arguments,
                                        core::findings& faults)
{
    const auto known = description();
    options::variables_map values;
    forward_settings settings;
    try {
        store_arguments(arguments, known, values);
        settings.file = settings_file_path(values);
        if (!settings.file.empty() && !read_file(settings.file, known, values, faults)) {
            return settings;
        }
        options::notify(values);
    }
    catch (const options::error& error) {
        faults.add("settings", error.what());
        return settings;
    }
    if (values.count("help") != 0) {
        settings.help = true;
        return settings;
    }
    settings_reader read(values, faults);
    settings.site = read.text("site");
    read_front(read, values, settings.front, faults);
    settings.log_level = read.log_level();
    return settings;
}

std::string forward_settings_help()
{
    std::ostringstream text;
    text << description();
    return text.str();
}

} // namespace ej
