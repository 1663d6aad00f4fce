#pragma once

#include <actions/action_id.h>
#include <actions/request_digest.h>

#include <core/class_id.h>
#include <core/idempotency_key.h>
#include <core/workspace_id.h>

#include <string_view>

/// Digests that every daemon computes alike, even while the fleet's secrets are rotated.
namespace ej::actions_wire {

/// The id of the action with idempotency key `key` in `workspace`.
[[nodiscard]] actions::action_id action_id_of(const core::workspace_id& workspace,
                                              const core::idempotency_key& key);

/// A digest of the request, to detect different requests that reuse one idempotency key.
[[nodiscard]] actions::request_digest digest_of(const core::class_id& work, std::string_view path,
                                                std::string_view body);

} // namespace ej::actions_wire
