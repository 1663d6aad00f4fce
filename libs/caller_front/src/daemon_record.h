#pragma once

#include <core/address.h>
#include <core/failure_domain_id.h>

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace ej::front {

/// A daemon's registration, stored under its key.
struct daemon_record {
    core::address peer_listen; ///< Address for datagrams from other daemons.
    core::failure_domain_id domain;

    friend auto operator<=>(const daemon_record&, const daemon_record&) = default;
};

/// The value as text: "HOST:PORT DOMAIN".
[[nodiscard]] std::string to_string(const daemon_record& value);

/// Parses the output of `to_string`; empty for any other text.
[[nodiscard]] std::optional<daemon_record> parse_daemon_record(std::string_view text);

} // namespace ej::front
