#pragma once

#include <operator_api/class_status.h>
#include <operator_api/endpoint_status.h>
#include <operator_api/member_status.h>
#include <operator_api/refusal_count.h>

#include <config/follower_status.h>

#include <core/failure_domain_id.h>
#include <core/vm_id.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace ej::operator_api {

/// The status that one daemon reports for itself.
struct daemon_status {
    core::vm_id vm;
    core::failure_domain_id domain;
    bool ready = false;
    bool draining = false;
    std::uint64_t in_flight = 0; ///< Requests running or queued.
    config::follower_status configuration;
    std::vector<class_status> classes;
    std::vector<endpoint_status> endpoints;
    std::vector<member_status> members;
    std::vector<refusal_count> refusals;

    friend auto operator<=>(const daemon_status&, const daemon_status&) = default;
};

} // namespace ej::operator_api
