#include "parse_settings.h"

#include "settings_reader.h"

#include <core/work_kind.h>
#include <logging/level.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <sstream>
#include <utility>
#include <vector>

namespace ej {

namespace {

namespace options = boost::program_options;
using texts = std::vector<std::string>;

constexpr std::size_t max_threads = 64;
constexpr unsigned max_interval_ms = 60'000;

options::options_description description()
{
    options::options_description all("Settings (flags, or environment variables EJ_FLAG_NAME)");
    const auto text = [] { return options::value<std::string>(); };
    const auto with_default = [](const char* value) {
        return options::value<std::string>()->default_value(value);
    };
    auto add = all.add_options();
    add("help", "show this help");
    add("vm", text(), "name of this VM");
    add("failure-domain", text(), "failure domain of this VM");
    add("listen", with_default("127.0.0.1:8080"), "HOST:PORT for callers; port 0: any");
    add("operator-listen", with_default("127.0.0.1:8081"), "HOST:PORT for operators; port 0: any");
    add("peer-listen", with_default("127.0.0.1:8082"), "HOST:PORT for daemons; port 0: any");
    add("platform", text(), "HOST:PORT of the platform's service");
    add("workspace-key", options::value<texts>()->composing(),
        "WORKSPACE=KEY, repeatable; in the environment separated by commas");
    add("operator-key", text(), "key of the operator interface");
    add("fleet-secret", options::value<texts>()->composing(),
        "secret shared by all daemons, at least 16 bytes, repeatable; the first one signs, each "
        "one verifies");
    add("class", options::value<texts>()->composing(),
        "NAME:KIND:SERVICE, repeatable; KIND is generation, idempotent or non_idempotent");
    add("threads", options::value<std::size_t>()->default_value(runtime::default_threads),
        "threads, 1 to 64");
    add("list-interval-ms", options::value<unsigned>()->default_value(1'000),
        "time between reads of the VM list in ms, 1 to 60000");
    add("log-level", with_default("info"), "debug, info, warn or error");
    return all;
}

texts split(const std::string& text, char separator)
{
    texts parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

std::vector<runtime::workspace_key> workspace_keys(const texts& given, core::findings& faults)
{
    std::vector<runtime::workspace_key> keys;
    for (const auto& line : given) {
        for (const auto& entry : split(line, ',')) {
            const auto equals = entry.find('=');
            if (equals == std::string::npos || equals == 0 || equals + 1 == entry.size()) {
                faults.add("--workspace-key",
                           "'" + entry.substr(0, equals) + "' is not WORKSPACE=KEY");
                continue;
            }
            keys.push_back({core::workspace_id(entry.substr(0, equals)), entry.substr(equals + 1)});
        }
    }
    if (keys.empty() && given.empty()) {
        faults.add("--workspace-key", "is missing");
    }
    return keys;
}

seal::secrets secrets(const texts& given, core::findings& faults)
{
    seal::secrets result;
    for (const auto& line : given) {
        for (const auto& bytes : split(line, ',')) {
            if (bytes.size() < seal::min_secret_bytes) {
                faults.add("--fleet-secret", "must have at least 16 bytes");
            }
            result.list.push_back({bytes});
        }
    }
    if (result.list.empty()) {
        faults.add("--fleet-secret", "is missing");
    }
    return result;
}

std::vector<core::work_class> classes(const texts& given, core::findings& faults)
{
    constexpr std::size_t fields = 3;
    std::vector<core::work_class> result;
    for (const auto& line : given) {
        const auto parts = split(line, ':');
        const auto kind = parts.size() == fields ? core::parse_work_kind(parts[1]) : std::nullopt;
        if (!kind) {
            faults.add("--class", "'" + line + "' is not NAME:KIND:SERVICE");
            continue;
        }
        result.push_back({core::class_id(parts[0]), core::service_id(parts[2]), *kind, {}});
    }
    return result;
}

} // namespace

serve_settings parse_settings(std::span<const std::string> arguments, core::findings& faults)
{
    const auto known = description();
    options::variables_map values;
    try {
        store_arguments(arguments, known, values);
        options::notify(values);
    }
    catch (const options::error& error) {
        faults.add("command line", error.what());
        return {};
    }
    serve_settings settings;
    if (values.count("help") != 0) {
        settings.help = true;
        return settings;
    }
    settings_reader read(values, faults);
    settings.daemon.vm = core::vm_id(read.text("vm"));
    settings.daemon.domain = core::failure_domain_id(read.text("failure-domain"));
    settings.daemon.caller_listen = read.address("listen");
    settings.daemon.operator_listen = read.address("operator-listen");
    settings.daemon.peer_listen = read.address("peer-listen");
    settings.daemon.platform = read.address("platform");
    settings.daemon.workspace_keys = workspace_keys(read.list("workspace-key"), faults);
    settings.daemon.operator_key = read.text("operator-key");
    settings.daemon.fleet_secrets = secrets(read.list("fleet-secret"), faults);
    settings.daemon.classes = classes(read.list("class"), faults);
    settings.daemon.threads = read.number<std::size_t>("threads", max_threads);
    settings.daemon.list_interval = read.milliseconds("list-interval-ms", max_interval_ms);
    settings.log_level = read.log_level();
    return settings;
}

std::string settings_help()
{
    std::ostringstream text;
    text << description();
    return text.str();
}

} // namespace ej
