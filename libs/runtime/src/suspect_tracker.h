#pragma once

#include "engine_requests.h"

#include <concurrency/sharded.h>
#include <core/endpoint.h>
#include <core/endpoint_id.h>
#include <core/instant.h>
#include <suspects/death_record.h>
#include <suspects/request_digest.h>
#include <suspects/suspect_table.h>
#include <suspects/verdict.h>

namespace ej::runtime {

/// Tracks which requests run at which engine, with and without output so far, and which of them
/// were running when an engine died. Thread-safe.
class suspect_tracker {
public:
    suspect_tracker();

    /// Reports that `request` starts at `engine`; `had_output`: it is resumed there.
    void begin(const core::endpoint_id& engine, suspects::request_digest request,
               bool had_output = false);

    /// Reports that `request`, which runs at `engine`, has had output.
    void record_output(const core::endpoint_id& engine, suspects::request_digest request);

    /// Reports that `request` no longer runs at `engine`.
    void end(const core::endpoint_id& engine, suspects::request_digest request);

    /// Records that `engine` died while `request` ran there. Returns the record to send to other
    /// daemons; it has no requests if the death was known.
    suspects::death_record record_death(const core::endpoint& engine,
                                        suspects::request_digest request, core::instant now);

    /// Records a death that another daemon saw. Returns true if it was not known.
    bool record_remote_death(const suspects::death_record& seen, core::instant now);

    /// Clears a request that has finished; it is no longer a suspect.
    void clear(suspects::request_digest request);

    /// Decides how the request may run: normally, isolated or not at all.
    [[nodiscard]] suspects::verdict evaluate(suspects::request_digest request, core::instant now);

    /// Starts an isolated attempt of the request; false while another one runs at this daemon.
    bool begin_isolated(suspects::request_digest request);

    /// Ends the isolated attempt.
    void end_isolated(suspects::request_digest request);

private:
    concurrency::sharded<core::endpoint_id, engine_requests> requests_;
    suspects::suspect_table table_;
};

} // namespace ej::runtime
