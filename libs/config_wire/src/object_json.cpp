#include "object_json.h"

#include <cstdint>
#include <limits>

namespace ej::config_wire {

namespace {

constexpr std::uint64_t max_count = std::numeric_limits<std::uint32_t>::max();

json target_to_json(const core::work_target& target)
{
    return {{"first_token_ms", target.first_token.count()},
            {"finish_ms", target.finish.count()},
            {"resume_ms", target.resume.count()},
            {"max_waiting", target.max_waiting},
            {"extra_work_percent", target.extra_work_percent}};
}

std::uint32_t count(const field_reader& fields, const std::string& name, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(fields.number(name, fallback, max_count));
}

core::work_target target_from_json(const field_reader& fields, const core::work_target& defaults)
{
    return {fields.time("first_token_ms", defaults.first_token),
            fields.time("finish_ms", defaults.finish), fields.time("resume_ms", defaults.resume),
            count(fields, "max_waiting", defaults.max_waiting),
            count(fields, "extra_work_percent", defaults.extra_work_percent)};
}

core::work_kind kind_from_json(const field_reader& fields, core::work_kind fallback)
{
    const std::string name = fields.text("kind", std::string(to_string(fallback)));
    const auto kind = core::parse_work_kind(name);
    if (!kind) {
        fields.fault("kind", "must be generation, idempotent or non_idempotent");
    }
    return kind.value_or(fallback);
}

} // namespace

json class_to_json(const core::work_class& value)
{
    return {{"name", value.name.text()},
            {"service", value.service.text()},
            {"kind", to_string(value.kind)},
            {"target", target_to_json(value.target)}};
}

core::work_class class_from_json(const field_reader& fields, const core::work_class& defaults)
{
    core::work_class value = defaults;
    value.name = core::class_id(fields.text("name", defaults.name.text()));
    value.service = core::service_id(fields.text("service", defaults.service.text()));
    value.kind = kind_from_json(fields, defaults.kind);
    if (fields.has("target")) {
        const field_reader target(fields.child("target"), fields.place_of("target"),
                                  fields.faults());
        value.target = target_from_json(target, defaults.target);
    }
    return value;
}

json workspace_to_json(const config::workspace& value)
{
    return {{"name", value.name.text()}, {"share_ppm", value.share_ppm}};
}

config::workspace workspace_from_json(const field_reader& fields, const config::workspace& defaults)
{
    return {core::workspace_id(fields.text("name", defaults.name.text())),
            count(fields, "share_ppm", defaults.share_ppm)};
}

} // namespace ej::config_wire
