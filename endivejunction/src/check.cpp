#include "check.h"

#include "parse_settings.h"

#include <iostream>

namespace ej {

namespace {

constexpr int exit_invalid_settings = 2;

} // namespace

int check(std::span<const std::string> arguments)
{
    core::findings faults;
    const auto settings = parse_settings(arguments, faults);
    if (settings.help) {
        std::cout << settings_help();
        return 0;
    }
    if (!faults.empty()) {
        std::cerr << faults.status().message() << '\n';
        return exit_invalid_settings;
    }
    std::cout << "settings are valid\n";
    return 0;
}

} // namespace ej
