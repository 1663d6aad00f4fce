#pragma once

#include <membership/member_entry.h>

#include <core/instant.h>

#include <compare>

namespace ej::membership {

/// A daemon's entry and when it last changed.
struct member_record {
    member_entry entry;
    core::instant changed;

    friend auto operator<=>(const member_record&, const member_record&) = default;
};

} // namespace ej::membership
