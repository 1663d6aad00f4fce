#pragma once

#include <actions/action_id.h>
#include <actions/request_digest.h>

#include <core/class_id.h>
#include <core/idempotency_key.h>
#include <core/workspace_id.h>

#include <string_view>

/// Names that are the same at every daemon, also while the fleet's secrets change.
namespace ej::actions_wire {

/// Names the action of `key` in `workspace`.
[[nodiscard]] actions::action_id name_of(const core::workspace_id& workspace,
                                         const core::idempotency_key& key);

/// Tells requests under one key apart.
[[nodiscard]] actions::request_digest digest_of(const core::class_id& work, std::string_view path,
                                                std::string_view body);

} // namespace ej::actions_wire
