#pragma once

#include "death_announcer.h"
#include "member_service.h"

namespace ej::runtime {

/// Tells the daemons of this failure domain and the bridges of the others, over the connections
/// between daemons. Thread-safe.
class member_death_announcer final : public death_announcer {
public:
    /// `members` outlives this.
    explicit member_death_announcer(member_service& members) : members_(members) {}

    boost::asio::awaitable<void> announce(suspects::death_record seen) override;

    /// Passes on to this failure domain what `from`, if it is of another one, told.
    void relay(const core::vm_id& from, const suspects::death_record& heard);

private:
    member_service& members_;
};

} // namespace ej::runtime
