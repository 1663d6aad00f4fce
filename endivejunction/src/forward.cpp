#include "forward.h"

#include "parse_forward_settings.h"
#include "settings_file_watcher.h"

#include <adapter/site.h>
#include <caller_front/front_daemon.h>
#include <logging/log.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <iostream>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace ej {

namespace {

namespace asio = boost::asio;

constexpr int exit_invalid_settings = 2;
constexpr int exit_failed = 1;

// The settings file may change without a signal; a check of its time costs one system call.
constexpr std::chrono::seconds file_check_interval{1};

using site_factory = std::pair<std::string_view, front::site (*)()>;

constexpr std::array<site_factory, 1> site_factories{{{"fleet", &adapter::make_site}}};

std::optional<front::site> make_site_by_name(std::string_view name)
{
    const auto* const found = std::ranges::find(site_factories, name, &site_factory::first);
    return found == site_factories.end() ? std::nullopt : std::optional(found->second());
}

/// Reloads the settings when they change. While it exists, signals do not end the process.
class settings_supervisor {
public:
    settings_supervisor(std::vector<std::string> arguments, const forward_settings& settings)
        : arguments_(std::move(arguments)), current_settings_(settings), watch_(settings.file),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP), timer_(loop_)
    {
    }

    /// Applies changed settings to `daemon`; returns at the first SIGTERM or SIGINT.
    void run(front::front_daemon& daemon)
    {
        daemon_ = &daemon;
        await_signal();
        if (!current_settings_.file.empty()) {
            await_change();
        }
        loop_.run();
    }

private:
    void await_signal()
    {
        signals_.async_wait([this](const boost::system::error_code& error, int number) {
            if (error) {
                return;
            }
            if (number == SIGHUP) {
                reload("signal");
                await_signal();
                return;
            }
            logging::log(logging::level::info, "stopping", {{"signal", std::to_string(number)}});
            loop_.stop();
        });
    }

    void await_change()
    {
        timer_.expires_after(file_check_interval);
        timer_.async_wait([this](const boost::system::error_code& error) {
            if (error) {
                return;
            }
            if (watch_.changed()) {
                reload("file");
            }
            await_change();
        });
    }

    void reload(std::string_view cause)
    {
        core::findings faults;
        auto settings = parse_forward_settings(arguments_, faults);
        if (!faults.empty()) {
            logging::log(logging::level::warn, "settings rejected",
                         {{"cause", std::string(cause)},
                          {"faults", std::string(faults.status().message())}});
            return;
        }
        const bool same = settings == current_settings_;
        daemon_->reconfigure(settings.front);
        current_settings_ = std::move(settings);
        logging::log(logging::level::info, "settings read",
                     {{"cause", std::string(cause)}, {"changed", same ? "no" : "yes"}});
    }

    std::vector<std::string> arguments_;
    forward_settings current_settings_;
    settings_file_watcher watch_;
    front::front_daemon* daemon_ = nullptr; // Set while it runs.
    asio::io_context loop_{1};
    asio::signal_set signals_;
    asio::steady_timer timer_;
};

} // namespace

int forward(std::span<const std::string> arguments)
{
    core::findings faults;
    const auto settings = parse_forward_settings(arguments, faults);
    if (settings.help) {
        std::cout << forward_settings_help();
        return 0;
    }
    auto site = make_site_by_name(settings.site);
    if (!site) {
        faults.add("--site", "'" + settings.site + "' is unknown");
    }
    if (!faults.empty()) {
        std::cerr << faults.status().message() << '\n';
        return exit_invalid_settings;
    }
    logging::start(settings.log_level, logging::output::standard_output);
    settings_supervisor supervisor({arguments.begin(), arguments.end()}, settings);
    auto started = front::front_daemon::start(settings.front, *std::move(site));
    if (!started.ok()) {
        logging::log(logging::level::error, "start failed",
                     {{"error", std::string(started.status().message())}});
        logging::stop();
        return exit_failed;
    }
    const auto daemon = *std::move(started);
    logging::log(logging::level::info, "started",
                 {{"vm", settings.front.vm.text()},
                  {"callers", core::to_string(daemon->caller_address())},
                  {"ready", core::to_string(daemon->ready_address())},
                  {"store", core::to_string(settings.front.store)}});
    supervisor.run(*daemon);
    daemon->drain();
    logging::log(logging::level::info, "stopped");
    logging::stop();
    return 0;
}

} // namespace ej
