#pragma once

#include <forwarding/endpoint_record.h>
#include <forwarding/ruleset.h>

#include <core/endpoint_id.h>
#include <core/findings.h>
#include <core/revision.h>
#include <core/service_id.h>
#include <core/vm_id.h>
#include <rollout/rollout_order.h>
#include <rollout/rollout_phase.h>
#include <suspects/part_digest.h>
#include <suspects/request_digest.h>

#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace ej::front {

/// Keys of the configuration and the registrations in the store, and the format of their values.
/// Stateless and thread-safe.
class store_layout {
public:
    store_layout() = default;
    virtual ~store_layout() = default;
    store_layout(const store_layout&) = delete;
    store_layout& operator=(const store_layout&) = delete;
    store_layout(store_layout&&) = delete;
    store_layout& operator=(store_layout&&) = delete;

    /// Prefix of all keys that a daemon watches.
    [[nodiscard]] virtual std::string followed_prefix() const = 0;

    /// Key of the configuration.
    [[nodiscard]] virtual std::string rules_key() const = 0;

    /// Prefix of the keys under which daemons register.
    [[nodiscard]] virtual std::string daemons_prefix() const = 0;

    /// The key under which the daemon of `vm` registers.
    [[nodiscard]] std::string daemon_key(const core::vm_id& vm) const
    {
        return daemons_prefix() + vm.text();
    }

    /// Prefix of the keys of parts of prompts that are held back.
    [[nodiscard]] virtual std::string held_parts_prefix() const = 0;

    /// The key of a part that is held back.
    [[nodiscard]] std::string held_part_key(suspects::part_digest part) const;

    /// The part that is held back under `key`; empty for other keys.
    [[nodiscard]] std::optional<suspects::part_digest> held_part_of(const std::string& key) const;

    /// Prefix of the keys of requests that crash endpoints.
    [[nodiscard]] virtual std::string suspects_prefix() const = 0;

    /// The key of a request that crashes endpoints.
    [[nodiscard]] std::string suspect_key(suspects::request_digest request) const;

    /// The request whose entry is under `key`; empty for other keys.
    [[nodiscard]] std::optional<suspects::request_digest> suspect_of(const std::string& key) const;

    /// The service whose roll-out is ordered under `key`; empty for other keys.
    [[nodiscard]] virtual std::optional<core::service_id>
    ordered_service_of(const std::string& key) const = 0;

    /// Parses the order of a roll-out of `service`, written at `revision`.
    /// Error: InvalidArgument when a field is missing or has the wrong type.
    [[nodiscard]] virtual absl::StatusOr<rollout::rollout_order>
    parse_rollout_order(const core::service_id& service, const std::string& value,
                        core::revision revision) const = 0;

    /// Key under which operators read the status of a service's roll-out.
    [[nodiscard]] virtual std::string rollout_status_key(const core::service_id& service) const = 0;

    /// The status of a roll-out to `target` for operators.
    [[nodiscard]] virtual std::string rollout_status_text(const core::service_id& service,
                                                          const core::version_id& target,
                                                          rollout::rollout_phase phase) const = 0;

    /// Prefix of the keys of roll-outs' records.
    [[nodiscard]] virtual std::string rollouts_prefix() const = 0;

    /// The key of the record of a service's roll-out.
    [[nodiscard]] std::string rollout_key(const core::service_id& service) const
    {
        return rollouts_prefix() + service.text();
    }

    /// The service whose roll-out has its record under `key`; empty for other keys.
    [[nodiscard]] std::optional<core::service_id>
    rolled_out_service_of(const std::string& key) const;

    /// The endpoint that registers under `key`; empty for other keys.
    [[nodiscard]] virtual std::optional<core::endpoint_id>
    endpoint_of(const std::string& key) const = 0;

    /// Parses a registration. Error: InvalidArgument when a field is missing or has the wrong type.
    [[nodiscard]] virtual absl::StatusOr<forwarding::endpoint_record>
    parse_endpoint(const core::endpoint_id& name, const std::string& value) const = 0;

    /// Parses a configuration; invalid parts are skipped and reported in `faults`.
    /// Error: InvalidArgument when it has no version.
    [[nodiscard]] virtual absl::StatusOr<forwarding::ruleset>
    parse_rules(const std::string& value, core::findings& faults) const = 0;
};

} // namespace ej::front
