#pragma once

#include <membership/domain_summary.h>
#include <membership/endpoint_entry.h>
#include <membership/member_entry.h>

#include <rapidcheck.h>

#include <string>

namespace rc {

// Few distinct values, so that entries with equal keys are frequent.
template <>
struct Arbitrary<ej::membership::member_entry> {
    static Gen<ej::membership::member_entry> arbitrary()
    {
        using namespace ej;
        return gen::build<membership::member_entry>(
            gen::set(&membership::member_entry::vm, gen::just(core::vm_id("vm"))),
            gen::set(
                &membership::member_entry::boot,
                gen::map(gen::inRange(0, 3), [](int n) { return membership::boot_number(n); })),
            gen::set(
                &membership::member_entry::version,
                gen::map(gen::inRange(0, 3), [](int n) { return membership::member_version(n); })),
            gen::set(
                &membership::member_entry::state,
                gen::element(membership::member_state::alive, membership::member_state::leaving,
                             membership::member_state::suspect, membership::member_state::dead)));
    }
};

template <>
struct Arbitrary<ej::membership::endpoint_entry> {
    static Gen<ej::membership::endpoint_entry> arbitrary()
    {
        using namespace ej;
        const auto endpoint = gen::map(gen::inRange<std::uint16_t>(1, 3), [](std::uint16_t port) {
            core::endpoint made;
            made.name = core::endpoint_id("e");
            made.incarnation = core::incarnation_id("i");
            made.where = {"127.0.0.1", port};
            return made;
        });
        return gen::build<membership::endpoint_entry>(
            gen::set(&membership::endpoint_entry::endpoint, endpoint),
            gen::set(&membership::endpoint_entry::observed_generation,
                     gen::map(gen::inRange(0, 3), [](int n) { return membership::generation(n); })),
            gen::set(&membership::endpoint_entry::gone),
            gen::set(&membership::endpoint_entry::leaving));
    }
};

template <>
struct Arbitrary<ej::membership::domain_summary> {
    static Gen<ej::membership::domain_summary> arbitrary()
    {
        using namespace ej;
        return gen::build<membership::domain_summary>(
            gen::set(
                &membership::domain_summary::version,
                gen::map(gen::inRange(0, 3), [](int n) { return membership::summary_version(n); })),
            gen::set(&membership::domain_summary::author, gen::map(gen::inRange(0, 3), [](int n) {
                return core::vm_id(std::to_string(n));
            })));
    }
};

} // namespace rc
