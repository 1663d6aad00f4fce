#include "generation_starts.h"

#include <generation/token_digest.h>
#include <wire/generation_request.h>

#include <string>
#include <utility>

namespace ej::runtime {

namespace {

constexpr std::string_view generations_path = "/v1/generations/";

absl::StatusOr<core::work_class> class_named(daemon_context& shared, const core::class_id& name)
{
    const auto classes = shared.classes.load();
    const auto found = classes->find(name);
    if (found == classes->end() || found->second.kind != core::work_kind::generation) {
        return absl::NotFoundError("class: no class of generations is called '" + name.text() +
                                   "'");
    }
    return found->second;
}

absl::StatusOr<cursor::stream_cursor> cursor_of(const daemon_context& shared, const std::string& id,
                                                const core::workspace_id& workspace)
{
    auto cursor = shared.cursors.open(id);
    if (!cursor || cursor->location.workspace != workspace) {
        return absl::PermissionDeniedError("Last-Event-ID: not an event of this workspace");
    }
    return *std::move(cursor);
}

// The engine may still be running the attempt, whichever daemon started it, so the engine is
// checked first.
generation::state state_at(const cursor::stream_cursor& cursor)
{
    generation::state state;
    state.phase = generation::phase::checking;
    state.attempt = cursor.location.attempt;
    state.next = cursor.next;
    state.text = cursor.text;
    state.endpoint = cursor.location.endpoint;
    return state;
}

absl::Status resume_from(generation_start& start, const cursor::stream_cursor& cursor)
{
    const auto text = generation::extend(core::digest(), start.delivered);
    if (cursor.next.value() != start.delivered.size() || cursor.text != text) {
        return absl::InvalidArgumentError("delivered: not the tokens before Last-Event-ID");
    }
    start.request = cursor.location.request;
    start.state = state_at(cursor);
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<generation_start> parse_new_generation(daemon_context& shared,
                                                      const http::request& call,
                                                      const core::workspace_id& workspace)
{
    core::findings faults;
    auto wanted = wire::parse_generation_request(call.body, faults);
    if (!faults.empty()) {
        return faults.status();
    }
    auto work_class = class_named(shared, wanted.work_class);
    if (!work_class.ok()) {
        return work_class.status();
    }
    generation_start start{workspace,
                           shared.ids.next(),
                           *std::move(work_class),
                           std::move(wanted.prompt),
                           wanted.max_tokens,
                           std::move(wanted.delivered),
                           {}};
    const auto id = call.header_value("Last-Event-ID");
    if (!id && start.delivered.empty()) {
        return start;
    }
    auto cursor = cursor_of(shared, id.value_or(""), workspace);
    if (!cursor.ok()) {
        return cursor.status();
    }
    auto resumed = resume_from(start, *cursor);
    if (!resumed.ok()) {
        return resumed;
    }
    return start;
}

absl::StatusOr<generation_start> parse_resumed_generation(daemon_context& shared,
                                                          const http::request& call,
                                                          const core::workspace_id& workspace)
{
    auto cursor = cursor_of(shared, call.header_value("Last-Event-ID").value_or(""), workspace);
    if (!cursor.ok()) {
        return cursor.status();
    }
    if (call.target != std::string(generations_path) + cursor->location.request.text()) {
        return absl::PermissionDeniedError("Last-Event-ID: not an event of this request");
    }
    auto work_class = class_named(shared, cursor->location.work_class);
    if (!work_class.ok()) {
        return work_class.status();
    }
    return generation_start{
        workspace, cursor->location.request, *std::move(work_class), std::nullopt, 0,
        {},        state_at(*cursor)};
}

} // namespace ej::runtime
