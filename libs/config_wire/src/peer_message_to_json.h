#pragma once

#include "change_json.h"
#include "json.h"

#include <config/peer_message.h>

#include <chrono>

namespace ej::config_wire {

/// Visitor of `config::peer_message` that returns a JSON object with a single field named for the
/// kind of message.
struct peer_message_to_json {
    json operator()(const config::revision_digest& message) const
    {
        json value{{"revision", message.revision.value()}, {"history", message.history.value()}};
        if (message.contact_age) {
            value["contact_age_ms"] = static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(*message.contact_age)
                    .count());
        }
        return {{"digest", std::move(value)}};
    }
    json operator()(const config::change_request& message) const
    {
        return {
            {"request", {{"after", message.after.value()}, {"whole", message.whole ? 1U : 0U}}}};
    }
    json operator()(const config::change_log& message) const
    {
        return {{"changes", change_log_to_json(message)}};
    }
    json operator()(const config::configuration& message) const
    {
        return {{"configuration", configuration_to_json(message)}};
    }
};

} // namespace ej::config_wire
