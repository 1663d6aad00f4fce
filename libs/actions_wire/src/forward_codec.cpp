#include <actions_wire/forward_codec.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace ej::actions_wire {

namespace {

using actions::outcome_kind;
using nlohmann::json;

using kind_name = std::pair<outcome_kind, std::string_view>;

constexpr std::array<kind_name, 3> kind_names{{{outcome_kind::ran, "ran"},
                                               {outcome_kind::not_run, "not_run"},
                                               {outcome_kind::unknown, "unknown"}}};

std::string write(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// The element of `all` whose `to_string` is `name`, if any.
template <class List>
auto find_by_name(const List& all, std::string_view name)
{
    const auto found =
        std::ranges::find_if(all, [&](const auto& item) { return to_string(item) == name; });
    using value = typename List::value_type;
    return found == all.end() ? std::optional<value>() : std::optional<value>(*found);
}

json result_to_json(const std::optional<actions::action_result>& result)
{
    if (!result) {
        return nullptr;
    }
    return {
        {"status", result->status}, {"content_type", result->content_type}, {"body", result->body}};
}

actions::action_outcome parse_ran(const json& answer)
{
    const auto result = answer.find("result");
    if (result == answer.end() || !result->is_object()) {
        return actions::ran(std::nullopt);
    }
    return actions::ran(actions::action_result{result->at("status").get<std::uint16_t>(),
                                               result->at("content_type").get<std::string>(),
                                               result->at("body").get<std::string>()});
}

absl::StatusOr<actions::action_outcome> parse_outcome(const json& answer)
{
    const auto kind = answer.at("kind").get<std::string>();
    const auto reason = answer.value("reason", std::string());
    const auto* const found = std::ranges::find(kind_names, kind, &kind_name::second);
    if (found == kind_names.end()) {
        return absl::InvalidArgumentError("kind: '" + kind + "' is unknown");
    }
    if (found->first == outcome_kind::ran) {
        return parse_ran(answer);
    }
    if (found->first == outcome_kind::not_run) {
        const auto refusal = find_by_name(core::all_refusal_reasons(), reason);
        return actions::not_run(refusal.value_or(core::refusal_reason::no_endpoint));
    }
    const auto unknown_cause = find_by_name(actions::all_unknown_reasons(), reason);
    return actions::unknown(unknown_cause.value_or(actions::unknown_reason::owner_unreachable));
}

} // namespace

std::string encode(const forwarded_call& call)
{
    return write({{"workspace", call.workspace.text()},
                  {"class", call.work_class.text()},
                  {"service", call.service.text()},
                  {"key", call.key.text()},
                  {"path", call.path},
                  {"body", call.body},
                  {"nonce", call.nonce.value()},
                  {"left_ms", call.left.count()}});
}

absl::StatusOr<forwarded_call> decode_forwarded_call(std::string_view text)
{
    try {
        const auto call = json::parse(text);
        return forwarded_call{core::workspace_id(call.at("workspace").get<std::string>()),
                              core::class_id(call.at("class").get<std::string>()),
                              core::service_id(call.at("service").get<std::string>()),
                              core::idempotency_key(call.at("key").get<std::string>()),
                              call.at("path").get<std::string>(),
                              call.at("body").get<std::string>(),
                              actions::claim_nonce(call.at("nonce").get<std::uint64_t>()),
                              std::chrono::milliseconds(call.at("left_ms").get<std::uint32_t>())};
    }
    catch (const json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

std::string encode(const actions::action_outcome& outcome)
{
    const auto* const kind = std::ranges::find(kind_names, outcome.kind, &kind_name::first);
    std::string reason;
    if (outcome.refusal) {
        reason = core::to_string(*outcome.refusal);
    }
    if (outcome.unknown_cause) {
        reason = actions::to_string(*outcome.unknown_cause);
    }
    return write(
        {{"kind", kind->second}, {"reason", reason}, {"result", result_to_json(outcome.result)}});
}

absl::StatusOr<actions::action_outcome> decode_outcome(std::string_view text)
{
    try {
        return parse_outcome(json::parse(text));
    }
    catch (const json::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace ej::actions_wire
