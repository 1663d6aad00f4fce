#pragma once

#include <admission/refusal.h>

#include <fairness/queued_request.h>

#include <compare>

namespace ej::admission {

/// A request that was refused or dropped and will not run.
struct refused_claim {
    fairness::queued_request queued_request;
    refusal why;

    friend auto operator<=>(const refused_claim&, const refused_claim&) = default;
};

} // namespace ej::admission
