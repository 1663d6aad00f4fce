#pragma once

#include <runtime/workspace_key.h>

#include <core/address.h>
#include <core/failure_domain_id.h>
#include <core/instant.h>
#include <core/vm_id.h>
#include <core/work_class.h>
#include <seal/secrets.h>

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace ej::runtime {

inline constexpr std::size_t default_threads = 2;

/// The settings that a daemon starts with.
struct daemon_settings {
    core::vm_id vm;
    core::failure_domain_id domain;
    core::address caller_listen{"127.0.0.1", 0};
    core::address operator_listen{"127.0.0.1", 0};
    core::address peer_listen{"127.0.0.1", 0};
    core::address platform;
    std::vector<workspace_key> workspace_keys;
    std::string operator_key;
    seal::secrets fleet_secrets;
    std::vector<core::work_class> classes;
    std::size_t threads = default_threads;                  ///< 1 to 64.
    core::duration list_interval = std::chrono::seconds(1); ///< Between reads of the VM list; > 0.
    core::duration report_interval = std::chrono::seconds(1); ///< Between load reports; > 0.

    friend auto operator<=>(const daemon_settings&, const daemon_settings&) = default;
};

} // namespace ej::runtime
