#pragma once

#include <core/address.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ej::stand_ins {

/// The command-line options of one stand-in process.
struct options {
    std::string role; ///< "engine", "application" or "platform".
    core::address listen{"127.0.0.1", 0};
    std::string name;
    std::string domain;
    std::string service;
    std::optional<core::address> platform; ///< Registers in the VM list of this platform, if set.
    std::uint32_t slots = 8;
    std::uint32_t threads = 2;
    std::uint32_t cached_prefixes = 64;
    double tokens_per_second = 200; ///< Per stream.
    double prefill_ms = 20;         ///< Prefill time of a prompt whose prefix is not cached.
    double service_ms = 5;          ///< Processing time of one application call.
    double latency_ms = 0;          ///< Processing time of one platform call.
    bool check_fencing = false;
    std::vector<std::string> models;
};

} // namespace ej::stand_ins
