#pragma once

#include <actions/bucket_writer.h>
#include <actions/bucket_writer_effect.h>

#include <compare>
#include <vector>

namespace ej::actions {

/// The writer after an event and the effects to perform.
struct bucket_writer_transition {
    bucket_writer next;
    std::vector<bucket_writer_effect> effects;

    friend auto operator<=>(const bucket_writer_transition&,
                            const bucket_writer_transition&) = default;
};

} // namespace ej::actions
