#include "parse_options.h"

#include <core/work_target.h>

#include <boost/program_options.hpp>

#include <cmath>
#include <sstream>
#include <vector>

namespace ej::commands {

namespace {

namespace options = boost::program_options;

constexpr double ppm_per_percent = 10'000;
constexpr double whole_percent = 100;

std::string with_default(const std::string& text, std::uint64_t value)
{
    return text + "; a new class has " + std::to_string(value);
}

std::uint64_t count(std::chrono::milliseconds time)
{
    return static_cast<std::uint64_t>(time.count());
}

options::options_description description()
{
    const core::work_target defaults;
    options::options_description all(
        "Options (also from EJ_OPERATOR and EJ_OPERATOR_KEY in the environment)");
    auto add = all.add_options();
    const auto number = [] { return options::value<std::uint64_t>(); };
    const auto text = [] { return options::value<std::string>(); };
    add("help", "show this help");
    add("operator", text()->default_value("127.0.0.1:8081"),
        "HOST:PORT of a daemon's operator interface");
    add("operator-key", text(), "operator key; safer in the environment variable EJ_OPERATOR_KEY");
    add("json", options::bool_switch(), "print the reply as JSON");
    add("name", text(), "name of the class or workspace; also the first argument without a flag");
    add("if-revision", number(), "expected revision of the object; default: its current one");
    add("service", text(), "class: the model or application that runs its requests");
    add("kind", text(),
        "class: generation, idempotent or non_idempotent; a new class is idempotent");
    add("first-token-ms", number(),
        with_default("class: longest time to the first output in ms, 1 to 86400000",
                     count(defaults.first_token))
            .c_str());
    add("finish-ms", number(),
        with_default("class: longest time to the whole answer in ms, 1 to 86400000",
                     count(defaults.finish))
            .c_str());
    add("resume-ms", number(),
        with_default("class: longest gap in the output after a loss in ms, 1 to 86400000",
                     count(defaults.resume))
            .c_str());
    add("max-waiting", number(),
        with_default("class: requests that may wait per daemon, 1 to 100000", defaults.max_waiting)
            .c_str());
    add("extra-work-percent", number(),
        with_default("class: limit of the work of retries in percent of the work of first "
                     "attempts, 0 to 100",
                     defaults.extra_work_percent)
            .c_str());
    add("share", options::value<double>(),
        "workspace: part of the fleet in percent, 0 to 100, in steps of 0.0001; a new workspace "
        "has 0");
    return all;
}

std::string option_for_variable(const std::string& variable)
{
    if (variable == "EJ_OPERATOR") {
        return "operator";
    }
    return variable == "EJ_OPERATOR_KEY" ? "operator-key" : "";
}

template <class T>
std::optional<T> optional_value(const options::variables_map& values, const std::string& name)
{
    return values.count(name) == 0 ? std::nullopt : std::optional(values[name].as<T>());
}

core::address read_address(const options::variables_map& values, core::findings& faults)
{
    const auto address = core::parse_address(values["operator"].as<std::string>());
    if (!address) {
        faults.add("--operator", "must be HOST:PORT");
    }
    return address.value_or(core::address{});
}

std::optional<std::uint64_t> read_share(const options::variables_map& values,
                                        core::findings& faults)
{
    const auto percent = optional_value<double>(values, "share");
    if (!percent) {
        return std::nullopt;
    }
    if (!(*percent >= 0 && *percent <= whole_percent)) {
        faults.add("--share", "must be 0 to 100 percent");
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(std::llround(*percent * ppm_per_percent));
}

} // namespace

command_options parse_options(std::span<const std::string> arguments, core::findings& faults)
{
    options::variables_map values;
    try {
        const auto all = description();
        options::positional_options_description position;
        position.add("name", 1);
        const std::vector<std::string> flags(arguments.begin(), arguments.end());
        options::store(options::command_line_parser(flags).options(all).positional(position).run(),
                       values);
        options::store(options::parse_environment(all, option_for_variable), values);
        options::notify(values);
    }
    catch (const options::error& error) {
        faults.add("command line", error.what());
        return {};
    }
    command_options read;
    read.help = values.count("help") != 0;
    read.operator_address = read_address(values, faults);
    read.key = optional_value<std::string>(values, "operator-key").value_or("");
    read.json = values["json"].as<bool>();
    read.name = optional_value<std::string>(values, "name").value_or("");
    read.if_revision = optional_value<std::uint64_t>(values, "if-revision");
    read.service = optional_value<std::string>(values, "service");
    read.kind = optional_value<std::string>(values, "kind");
    read.first_token_ms = optional_value<std::uint64_t>(values, "first-token-ms");
    read.finish_ms = optional_value<std::uint64_t>(values, "finish-ms");
    read.resume_ms = optional_value<std::uint64_t>(values, "resume-ms");
    read.max_waiting = optional_value<std::uint64_t>(values, "max-waiting");
    read.extra_work_percent = optional_value<std::uint64_t>(values, "extra-work-percent");
    read.share_ppm = read_share(values, faults);
    return read;
}

std::string options_help()
{
    std::ostringstream text;
    text << description();
    return text.str();
}

} // namespace ej::commands
