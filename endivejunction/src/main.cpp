#include "check.h"
#include "commands/run_command.h"
#include "forward.h"
#include "serve.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace {

constexpr int exit_usage = 2;

struct command {
    std::string_view name;
    int (*run)(std::span<const std::string>);
    std::string_view brief;
};

int version(std::span<const std::string>)
{
    std::cout << "endivejunction 0.1.0\n";
    return 0;
}

constexpr std::array<command, 4> commands{
    {{"serve", &ej::serve, "run a daemon"},
     {"forward", &ej::forward, "run a forwarding daemon"},
     {"check", &ej::check, "check the settings for serve without starting a daemon"},
     {"version", &version, "print the version"}}};

int usage()
{
    std::cerr << "usage: endivejunction COMMAND [--help]\n";
    std::ranges::for_each(commands, [](const command& one) {
        std::cerr << "  " << one.name << "  " << one.brief << '\n';
    });
    std::cerr << "  class, workspace, status, drain, restore  operator commands\n";
    return exit_usage;
}

} // namespace

int main(int count, char** values)
{
    const std::vector<std::string> arguments(values, values + count);
    if (arguments.size() < 2) {
        return usage();
    }
    if (ej::commands::is_operator_command(arguments[1])) {
        return ej::commands::run_command(std::span(arguments).subspan(1), std::cout, std::cerr);
    }
    const auto* const found = std::ranges::find(commands, arguments[1], &command::name);
    if (found == commands.end()) {
        return usage();
    }
    const int code = found->run(std::span(arguments).subspan(2));
    std::cout.flush();
    // Static destructors are skipped: the logging library's waits for its pool of threads, which
    // keeps a daemon that has stopped serving alive until it is killed.
    std::quick_exit(code);
}
