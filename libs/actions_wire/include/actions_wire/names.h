#pragma once

#include <actions/action_id.h>
#include <actions/request_digest.h>

#include <core/class_id.h>
#include <core/idempotency_key.h>
#include <core/workspace_id.h>
#include <seal/secret.h>

#include <string_view>

/// Digests under the fleet's secret, so that no caller can choose two keys with one digest.
namespace ej::actions_wire {

/// Names the action of `key` in `workspace`.
[[nodiscard]] actions::action_id name_of(const seal::secret& key_secret,
                                         const core::workspace_id& workspace,
                                         const core::idempotency_key& key);

/// Tells requests under one key apart.
[[nodiscard]] actions::request_digest digest_of(const seal::secret& key_secret,
                                                const core::class_id& work, std::string_view path,
                                                std::string_view body);

} // namespace ej::actions_wire
