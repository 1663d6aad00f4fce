#pragma once

#include "field.h"

#include <core/address.h>
#include <core/endpoint.h>
#include <membership/delta.h>
#include <membership/digest_table.h>

#include <tuple>

// The members of each type that is sent. A new member needs only a row here. The key of a removed
// member must not be reused.
namespace ej::peer_wire {

template <class Owner, class Member>
constexpr auto required(const char* key, Member Owner::* member)
{
    return field<Owner, Member>{key, member, true};
}

template <class Owner, class Member>
constexpr auto optional(const char* key, Member Owner::* member)
{
    return field<Owner, Member>{key, member, false};
}

constexpr auto fields(const core::address* /*type*/)
{
    using core::address;
    return std::tuple(required("h", &address::host), required("p", &address::port));
}

constexpr auto fields(const core::endpoint* /*type*/)
{
    using core::endpoint;
    return std::tuple(required("n", &endpoint::name), required("i", &endpoint::incarnation),
                      optional("d", &endpoint::domain), optional("s", &endpoint::service),
                      required("w", &endpoint::where), optional("c", &endpoint::slots),
                      optional("f", &endpoint::checks_fencing));
}

constexpr auto fields(const membership::member_entry* /*type*/)
{
    using membership::member_entry;
    return std::tuple(required("n", &member_entry::vm), optional("b", &member_entry::boot),
                      optional("v", &member_entry::version), optional("s", &member_entry::state),
                      required("d", &member_entry::domain), required("w", &member_entry::where));
}

constexpr auto fields(const membership::endpoint_entry* /*type*/)
{
    using membership::endpoint_entry;
    return std::tuple(required("e", &endpoint_entry::endpoint),
                      required("g", &endpoint_entry::observed_generation),
                      optional("x", &endpoint_entry::gone),
                      optional("l", &endpoint_entry::leaving));
}

constexpr auto fields(const membership::leaving_endpoint* /*type*/)
{
    using membership::leaving_endpoint;
    return std::tuple(required("n", &leaving_endpoint::name),
                      required("i", &leaving_endpoint::incarnation));
}

constexpr auto fields(const membership::service_capacity* /*type*/)
{
    using membership::service_capacity;
    return std::tuple(required("s", &service_capacity::service),
                      optional("e", &service_capacity::endpoints),
                      optional("f", &service_capacity::free_slots));
}

constexpr auto fields(const membership::domain_summary* /*type*/)
{
    using membership::domain_summary;
    return std::tuple(
        required("d", &domain_summary::domain), required("v", &domain_summary::version),
        required("a", &domain_summary::author), optional("b", &domain_summary::bridges),
        optional("c", &domain_summary::capacities), optional("l", &domain_summary::leaving));
}

constexpr auto fields(const membership::delta* /*type*/)
{
    using membership::delta;
    return std::tuple(optional("m", &delta::members), optional("e", &delta::endpoints),
                      optional("s", &delta::summaries));
}

constexpr auto fields(const membership::digest_table* /*type*/)
{
    using membership::digest_table;
    return std::tuple(required("m", &digest_table::members),
                      required("e", &digest_table::endpoints),
                      optional("a", &digest_table::answer_wanted));
}

} // namespace ej::peer_wire
