#pragma once

#include <core/address.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace ej::commands {

/// Options of a command, from the command line and the environment.
struct command_options {
    core::address operator_address;
    std::string key;
    bool json = false;
    bool help = false;
    std::string name; ///< Of the object; empty when none was given.
    std::optional<std::uint64_t> if_revision;
    std::optional<std::string> service;
    std::optional<std::string> kind;
    std::optional<std::uint64_t> first_token_ms;
    std::optional<std::uint64_t> finish_ms;
    std::optional<std::uint64_t> resume_ms;
    std::optional<std::uint64_t> max_waiting;
    std::optional<std::uint64_t> extra_work_percent;
    std::optional<std::uint64_t> share_ppm;

    friend auto operator<=>(const command_options&, const command_options&) = default;
};

} // namespace ej::commands
