#pragma once

#include <http/body_pace.h>

#include <core/instant.h>

#include <compare>
#include <cstddef>
#include <optional>

namespace ej::http {

/// Decides how long a call waits for its answer. Does no I/O.
class answer_deadline {
public:
    /// The answer's header arrives until `header_by`. With a `pace`, its body may arrive later, as
    /// long as it keeps that pace; without one, all of the answer arrives until `header_by`.
    answer_deadline(core::instant header_by, std::optional<body_pace> pace);

    [[nodiscard]] core::instant for_header() const { return header_by_; }

    /// The time until which the next byte of the body arrives, when the header was complete at
    /// `header_at` and `received` bytes of the body have arrived at `now`.
    [[nodiscard]] core::instant for_body(core::instant header_at, std::size_t received,
                                         core::instant now) const;

    friend auto operator<=>(const answer_deadline&, const answer_deadline&) = default;

private:
    core::instant header_by_;
    std::optional<body_pace> pace_;
};

} // namespace ej::http
