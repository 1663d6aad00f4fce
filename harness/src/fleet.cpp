#include <harness/fleet.h>

#include <harness/http_client.h>

#include <nlohmann/json.hpp>

#include <signal.h>

#include <sstream>
#include <stdexcept>

namespace ej::harness {

namespace {

const std::string program_folder = EJ_PROGRAM_FOLDER;
const std::string any_port = "127.0.0.1:0";

template <class T>
T value_or_throw(absl::StatusOr<T> result, const std::string& what)
{
    if (!result.ok()) {
        throw std::runtime_error(what + ": " + std::string(result.status().message()));
    }
    return *std::move(result);
}

core::address address_or_throw(const std::string& text)
{
    const auto address = core::parse_address(text);
    if (!address) {
        throw std::runtime_error("not an address: '" + text + "'");
    }
    return *address;
}

// Reads "caller=H:P operator=H:P peer=H:P".
std::map<std::string, std::string> parse_listening(const std::string& line)
{
    std::map<std::string, std::string> addresses;
    std::istringstream words(line);
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        addresses[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return addresses;
}

} // namespace

fleet::fleet(const std::vector<std::string>& platform_flags)
{
    std::vector<std::string> arguments{"platform", "--listen", any_port};
    arguments.insert(arguments.end(), platform_flags.begin(), platform_flags.end());
    node& started = start(platform_name, "stand_ins", arguments);
    started.caller = address_or_throw(
        value_or_throw(started.process->wait_for_line("listening "), platform_name));
}

const node& fleet::start(const stand_in_settings& settings)
{
    std::vector<std::string> arguments{settings.role,
                                       "--listen",
                                       any_port,
                                       "--platform",
                                       to_string(at(platform_name).caller),
                                       "--name",
                                       settings.name,
                                       "--domain",
                                       settings.domain,
                                       "--service",
                                       settings.service};
    arguments.insert(arguments.end(), settings.flags.begin(), settings.flags.end());
    node& started = start(settings.name, "stand_ins", arguments);
    started.caller = address_or_throw(
        value_or_throw(started.process->wait_for_line("listening "), settings.name));
    return started;
}

const node& fleet::start(const daemon_settings& settings)
{
    std::vector<std::string> arguments{"serve",
                                       "--listen",
                                       any_port,
                                       "--operator-listen",
                                       any_port,
                                       "--peer-listen",
                                       any_port,
                                       "--platform",
                                       to_string(at(platform_name).caller),
                                       "--vm",
                                       settings.name,
                                       "--failure-domain",
                                       settings.domain,
                                       "--workspace-key",
                                       "wharf=wharf-key",
                                       "--workspace-key",
                                       "crew=crew-key",
                                       "--operator-key",
                                       operator_key,
                                       "--fleet-secret",
                                       "fleet-secret-of-the-test-fleet-0123"};
    arguments.insert(arguments.end(), settings.flags.begin(), settings.flags.end());
    node& started = start(settings.name, "endivejunction", arguments);
    auto addresses = parse_listening(
        value_or_throw(started.process->wait_for_line("listening "), settings.name));
    started.caller = address_or_throw(addresses["caller"]);
    started.operator_address = address_or_throw(addresses["operator"]);
    register_daemon(settings, addresses["peer"]);
    return started;
}

const node& fleet::at(const std::string& name) const
{
    const auto found = nodes_.find(name);
    if (found == nodes_.end()) {
        throw std::runtime_error("the fleet has no process named " + name);
    }
    return found->second;
}

void fleet::kill(const std::string& name)
{
    signal(name, SIGKILL);
    wait(name);
}

void fleet::signal(const std::string& name, int number)
{
    at(name).process->signal(number);
}

int fleet::wait(const std::string& name)
{
    return at(name).process->wait();
}

void fleet::fault(const std::string& name, const nlohmann::json& faults)
{
    const http_call call{"POST", "/faults", {}, faults.dump()};
    const auto result = value_or_throw(send(at(name).caller, call), name + " /faults");
    if (result.status != 200) {
        throw std::runtime_error(name + " /faults: " + result.body);
    }
}

nlohmann::json fleet::read(const std::string& name, const std::string& target) const
{
    const http_call call{"GET", target, {}, {}};
    return nlohmann::json::parse(value_or_throw(send(at(name).caller, call), name + target).body);
}

void fleet::register_daemon(const daemon_settings& settings, const std::string& peer_address) const
{
    const nlohmann::json entry{
        {"vm", settings.name},     {"domain", settings.domain},    {"role", "daemon"},
        {"address", peer_address}, {"incarnation", settings.name}, {"state", "live"}};
    const http_call call{"POST", "/vms", {}, entry.dump()};
    const auto answer = value_or_throw(send(at(platform_name).caller, call), platform_name);
    if (answer.status != 200) {
        throw std::runtime_error("the platform did not accept the entry of " + settings.name);
    }
}

node& fleet::start(const std::string& name, const std::string& program,
                   const std::vector<std::string>& arguments)
{
    auto process =
        value_or_throw(child_process::start(program_folder + '/' + program, arguments), name);
    node& started = nodes_[name];
    started.name = name;
    started.process = std::move(process);
    return started;
}

} // namespace ej::harness
