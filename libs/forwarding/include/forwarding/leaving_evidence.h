#pragma once

#include <forwarding/endpoint_run.h>
#include <forwarding/leaving_source.h>

#include <compare>

namespace ej::forwarding {

/// Says that an incarnation of an endpoint leaves: it finishes what it runs and takes no further
/// requests. It never stops leaving.
struct leaving_evidence {
    endpoint_run run;
    leaving_source source = leaving_source::registration;

    friend auto operator<=>(const leaving_evidence&, const leaving_evidence&) = default;
};

} // namespace ej::forwarding
