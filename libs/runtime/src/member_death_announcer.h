#pragma once

#include "death_announcer.h"
#include "member_service.h"

namespace ej::runtime {

/// Sends death records to the daemons of this failure domain and to the bridges of the others, over
/// the connections between daemons. Thread-safe.
class member_death_announcer final : public death_announcer {
public:
    /// `members` outlives this.
    explicit member_death_announcer(member_service& members) : members_(members) {}

    boost::asio::awaitable<void> announce(suspects::death_record seen) override;

    /// Relays a record from the daemon on `from` to this failure domain, if `from` is in another
    /// one.
    void relay(const core::vm_id& from, const suspects::death_record& received);

private:
    member_service& members_;
};

} // namespace ej::runtime
