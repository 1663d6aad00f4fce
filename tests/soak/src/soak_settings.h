#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ej::soak {

/// The settings from the command line.
struct soak_settings {
    std::vector<std::uint64_t> seeds;
    std::chrono::seconds length{10}; ///< Duration of fault injection per seed.
    std::string programs;            ///< Folder of the programs under test.
    std::string other_program; ///< Another build's daemon for every second start; empty: none.
    std::string failed_logs_folder = "soak-logs"; ///< Folder for the logs of seeds that failed.

    friend auto operator<=>(const soak_settings&, const soak_settings&) = default;
};

} // namespace ej::soak
