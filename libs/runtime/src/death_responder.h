#pragma once

#include "member_death_announcer.h"
#include "services.h"

#include <core/vm_id.h>

#include <memory>
#include <string_view>
#include <utility>

namespace ej::runtime {

/// Takes what peers tell of engines' deaths. Thread-safe.
class death_responder {
public:
    death_responder(std::shared_ptr<services> shared,
                    std::shared_ptr<member_death_announcer> announcer)
        : shared_(std::move(shared)), announcer_(std::move(announcer))
    {
    }

    /// Notes what `payload` tells; news from another failure domain is passed on within this one.
    void receive(const core::vm_id& from, std::string_view payload) const;

private:
    std::shared_ptr<services> shared_;
    std::shared_ptr<member_death_announcer> announcer_;
};

} // namespace ej::runtime
