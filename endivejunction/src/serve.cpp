#include "serve.h"

#include "parse_settings.h"

#include <logging/log.h>
#include <runtime/daemon.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <functional>
#include <iostream>
#include <thread>

namespace ej {

namespace {

namespace asio = boost::asio;

constexpr int exit_invalid_settings = 2;
constexpr int exit_failed = 1;

/// Drains the daemon at the first signal; further signals have no effect.
class drain_on_signal {
public:
    explicit drain_on_signal(runtime::daemon& daemon)
        : daemon_(daemon), signals_(context_, SIGTERM, SIGINT)
    {
        wait();
        thread_ = std::thread([this] { context_.run(); });
    }
    ~drain_on_signal()
    {
        context_.stop();
        thread_.join();
    }
    drain_on_signal(const drain_on_signal&) = delete;
    drain_on_signal& operator=(const drain_on_signal&) = delete;
    drain_on_signal(drain_on_signal&&) = delete;
    drain_on_signal& operator=(drain_on_signal&&) = delete;

private:
    void wait()
    {
        signals_.async_wait([this](const boost::system::error_code& error, int number) {
            if (error) {
                return;
            }
            logging::log(logging::level::info, "draining", {{"signal", std::to_string(number)}});
            daemon_.drain();
            wait();
        });
    }

    runtime::daemon& daemon_;
    asio::io_context context_;
    asio::signal_set signals_;
    std::thread thread_;
};

} // namespace

int serve(std::span<const std::string> arguments)
{
    core::findings faults;
    auto settings = parse_settings(arguments, faults);
    if (settings.help) {
        std::cout << settings_help();
        return 0;
    }
    if (!faults.empty()) {
        std::cerr << faults.status().message() << '\n';
        return exit_invalid_settings;
    }
    logging::start(settings.log_level);
    auto started = runtime::daemon::start(std::move(settings.daemon));
    if (!started.ok()) {
        std::cerr << started.status().message() << '\n';
        return exit_failed;
    }
    const auto daemon = std::move(started).value();
    const drain_on_signal signals(*daemon);
    std::cout << "listening caller=" << daemon->caller_address()
              << " operator=" << daemon->operator_address() << " peer=" << daemon->peer_address()
              << '\n'
              << std::flush;
    daemon->wait_until_drained();
    logging::log(logging::level::info, "drained");
    return 0;
}

} // namespace ej
