#pragma once

#include <concurrency/sharded.h>
#include <core/endpoint.h>
#include <core/endpoint_id.h>
#include <core/instant.h>
#include <suspects/death_record.h>
#include <suspects/request_digest.h>
#include <suspects/suspect_table.h>
#include <suspects/verdict.h>

#include <set>

namespace ej::runtime {

/// Which requests run at which engine without output so far, and on which of them engines died. A
/// request that crashes engines does so before its first output. Thread-safe.
class suspect_tracker {
public:
    suspect_tracker();

    /// `request` runs at `engine` from now on.
    void begin(const core::endpoint_id& engine, suspects::request_digest request);

    /// `request` made output at `engine`, or no longer runs there.
    void end(const core::endpoint_id& engine, suspects::request_digest request);

    /// `engine` died while `request` ran there. Returns the record if it is news to other daemons;
    /// else one without requests.
    suspects::death_record record_death(const core::endpoint& engine,
                                        suspects::request_digest request, core::instant now);

    /// Another daemon saw a death. True if it was not known.
    bool record_remote_death(const suspects::death_record& seen, core::instant now);

    /// The request finished: it is no suspect any more.
    void clear(suspects::request_digest request);

    /// How the request may run.
    [[nodiscard]] suspects::verdict judge(suspects::request_digest request, core::instant now);

    /// Begins an isolated attempt; false while another one runs at this daemon.
    bool begin_isolated(suspects::request_digest request);

    /// Ends it.
    void end_isolated(suspects::request_digest request);

private:
    concurrency::sharded<core::endpoint_id, std::multiset<suspects::request_digest>>
        without_output_;
    suspects::suspect_table table_;
};

} // namespace ej::runtime
