#pragma once

#include "daemon_context.h"
#include "member_death_announcer.h"

#include <core/vm_id.h>

#include <memory>
#include <string_view>
#include <utility>

namespace ej::runtime {

/// Handles peers' records of engine deaths. Thread-safe.
class death_responder {
public:
    death_responder(std::shared_ptr<daemon_context> shared,
                    std::shared_ptr<member_death_announcer> announcer)
        : shared_(std::move(shared)), announcer_(std::move(announcer))
    {
    }

    /// Records the death in `payload`. A death that was not known here and comes from another
    /// failure domain is relayed to the daemons of this one.
    void receive(const core::vm_id& from, std::string_view payload) const;

private:
    std::shared_ptr<daemon_context> shared_;
    std::shared_ptr<member_death_announcer> announcer_;
};

} // namespace ej::runtime
