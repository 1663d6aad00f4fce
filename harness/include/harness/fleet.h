#pragma once

#include <harness/daemon_settings.h>
#include <harness/http_result.h>
#include <harness/node.h>
#include <harness/stand_in_settings.h>

#include <core/address.h>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace ej::harness {

/// Runs a platform, endpoints and daemons as processes on ports that the system chooses. The
/// destructor kills and reaps all of them. Functions throw `std::runtime_error` when a process
/// fails to start or a stand-in does not answer.
class fleet {
public:
    inline static const std::string platform_name = "platform";
    inline static const std::string operator_key = "operator-key";

    /// Starts the platform.
    explicit fleet(const std::vector<std::string>& platform_flags = {});

    /// Starts an engine or an application, which registers itself in the platform's list.
    const node& start(const stand_in_settings& settings);

    /// Starts a daemon with two workspaces: "wharf" with key "wharf-key", "crew" with "crew-key".
    const node& start(const daemon_settings& settings);

    [[nodiscard]] const node& at(const std::string& name) const;

    /// Kills a process and waits until it has ended.
    void kill(const std::string& name);

    /// Sends a signal to a process.
    void signal(const std::string& name, int number);

    /// Waits until a process ends by itself; returns its exit code.
    int wait(const std::string& name);

    /// Injects faults into a stand-in.
    void fault(const std::string& name, const nlohmann::json& faults);

    /// The JSON response of a stand-in to GET `target`, for example "/stats".
    [[nodiscard]] nlohmann::json read(const std::string& name, const std::string& target) const;

private:
    void register_daemon(const daemon_settings& settings, const std::string& peer_address) const;
    node& start(const std::string& name, const std::string& program,
                const std::vector<std::string>& arguments);

    std::map<std::string, node> nodes_;
};

} // namespace ej::harness
