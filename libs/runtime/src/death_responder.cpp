#include "death_responder.h"

#include <suspects_wire/death_codec.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace ej::runtime {

void death_responder::receive(const core::vm_id& from, std::string_view payload) const
{
    const std::vector<std::uint8_t> bytes(payload.begin(), payload.end());
    const auto seen = suspects_wire::decode_death(bytes);
    if (!seen.ok()) {
        shared_->metrics.count("dropped_messages_total", {{"reason", "malformed_death"}});
        return;
    }
    if (!shared_->suspects.record_remote_death(*seen, std::chrono::steady_clock::now())) {
        return;
    }
    shared_->metrics.count("engine_deaths_heard_total", {});
    announcer_->relay(from, *seen);
}

} // namespace ej::runtime
