#include <harness/generation_caller.h>

#include <stand_ins/token_text.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace ej::harness {

namespace {

using json = nlohmann::json;

constexpr unsigned http_ok = 200;

} // namespace

stream_state generation_caller::start(const core::address& daemon)
{
    return open(daemon, submission(false));
}

stream_state generation_caller::resume(const core::address& daemon)
{
    answer_.error_kind.clear();
    answer_.error_reason.clear();
    if (answer_.request.empty() || answer_.cursor.empty()) {
        return resume_with_text(daemon);
    }
    http_call call{"GET", "/v1/generations/" + answer_.request, {}, {}};
    call.headers["Authorization"] = "Bearer " + call_.workspace_key;
    call.headers["Last-Event-ID"] = answer_.cursor;
    return open(daemon, call);
}

stream_state generation_caller::resume_with_text(const core::address& daemon)
{
    answer_.error_kind.clear();
    answer_.error_reason.clear();
    return open(daemon, submission(answer_.tokens > 0));
}

stream_state generation_caller::read_until(std::uint64_t tokens)
{
    while (state_ == stream_state::flowing && answer_.tokens < tokens) {
        const auto event = stream_->next();
        state_ = event.ok() ? handle_event(*event) : stream_state::broken;
        // After a resume by cursor, a daemon may ask for the received text at any time.
        if (state_ == stream_state::failed && answer_.error_reason == "prefix_needed") {
            resume_with_text(daemon_);
        }
    }
    return state_;
}

stream_state generation_caller::read_to_end(std::span<const core::address> daemons)
{
    constexpr auto all = std::numeric_limits<std::uint64_t>::max();
    read_until(all);
    std::ranges::find_if(daemons, [&](const core::address& daemon) {
        if (state_ != stream_state::broken) {
            return true;
        }
        resume(daemon);
        return read_until(all) != stream_state::broken;
    });
    return state_;
}

stream_state generation_caller::open(const core::address& daemon, const http_call& call)
{
    stream_.reset();
    daemon_ = daemon;
    auto opened = event_stream::open(daemon, call);
    if (!opened.ok()) {
        return state_ = stream_state::broken;
    }
    stream_.emplace(*std::move(opened));
    state_ = stream_state::flowing;
    if (stream_->status() != http_ok) {
        answer_.error_kind = "status " + std::to_string(stream_->status());
        state_ = stream_state::failed;
    }
    return state_;
}

stream_state generation_caller::handle_event(const sse_event& event)
{
    using handler = void (generation_caller::*)(const sse_event&);
    using row = std::pair<std::string_view, std::pair<handler, stream_state>>;
    static constexpr std::array<row, 4> handlers{
        {{"start", {&generation_caller::handle_start, stream_state::flowing}},
         {"tokens", {&generation_caller::handle_tokens, stream_state::flowing}},
         {"end", {&generation_caller::handle_end, stream_state::ended}},
         {"error", {&generation_caller::handle_error, stream_state::failed}}}};
    if (!event.id.empty()) {
        answer_.cursor = event.id;
    }
    const auto* const found = std::ranges::find(handlers, event.name, &row::first);
    if (found == handlers.end()) {
        return stream_state::flowing;
    }
    (this->*found->second.first)(event);
    return found->second.second;
}

void generation_caller::handle_start(const sse_event& event)
{
    answer_.request = json::parse(event.data).at("request").get<std::string>();
}

void generation_caller::handle_tokens(const sse_event& event)
{
    const auto data = json::parse(event.data);
    if (data.at("offset").get<std::uint64_t>() != answer_.tokens) {
        ++answer_.misplaced_events;
    }
    for (const json& token : data.at("tokens")) {
        answer_.text += token.get<std::string>();
        ++answer_.tokens;
    }
}

void generation_caller::handle_end(const sse_event& event)
{
    const auto data = json::parse(event.data);
    answer_.total = data.at("total").get<std::uint64_t>();
    answer_.end_reason = data.value("reason", "");
}

void generation_caller::handle_error(const sse_event& event)
{
    const auto data = json::parse(event.data);
    answer_.error_kind = data.value("kind", "");
    answer_.error_reason = data.value("reason", "");
}

http_call generation_caller::submission(bool with_text) const
{
    json body{
        {"class", call_.work_class}, {"prompt", call_.prompt}, {"max_tokens", call_.max_tokens}};
    http_call call{"POST", "/v1/generations", {}, {}};
    call.headers["Authorization"] = "Bearer " + call_.workspace_key;
    call.headers["Idempotency-Key"] = call_.idempotency_key;
    if (with_text) {
        body["delivered"] = stand_ins::split_tokens(answer_.text);
        call.headers["Last-Event-ID"] = answer_.cursor;
    }
    call.body = body.dump();
    return call;
}

} // namespace ej::harness
