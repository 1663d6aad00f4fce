#include "make_service.h"
#include "parse_options.h"
#include "registration.h"
#include "server.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <random>
#include <thread>
#include <vector>

namespace {

using namespace ej::stand_ins;

constexpr int usage_exit_code = 2;

void run_threads(boost::asio::io_context& context, std::uint32_t count)
{
    std::vector<std::jthread> others;
    for (std::uint32_t thread = 1; thread < count; ++thread) {
        others.emplace_back([&context] { context.run(); });
    }
    context.run();
}

int serve(const options& settings)
{
    boost::asio::io_context context(static_cast<int>(settings.threads));
    const std::string incarnation = settings.name + '-' + std::to_string(std::random_device{}());
    faults initial;
    initial.check_fencing = settings.check_fencing;
    auto control = std::make_shared<fault_control>(initial);
    auto role = make_service(context.get_executor(), settings, incarnation, control);
    if (!role) {
        std::cerr << "unknown role; expected engine, application or platform\n";
        return usage_exit_code;
    }
    server listener(context, settings.listen);
    listener.start(role, control);
    if (settings.platform) {
        register_vm(settings, listener.local(), incarnation);
    }
    std::cout << "listening " << listener.local() << '\n' << std::flush;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](auto, auto) { context.stop(); });
    run_threads(context, settings.threads);
    return 0;
}

} // namespace

int main(int count, char** arguments)
{
    try {
        const auto settings = parse_options(count, arguments);
        if (!settings.ok()) {
            std::cerr << settings.status().message() << '\n';
            return usage_exit_code;
        }
        return serve(*settings);
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
