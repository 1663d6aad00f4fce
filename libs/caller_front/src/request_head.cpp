#include "request_head.h"

#include <core/text.h>
#include <suspects/digest_of.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>
#include <vector>

namespace ej::front {

namespace {

// Hop-by-hop fields (RFC 9110, 7.6.1), and the framing, which is set again for each connection.
constexpr std::array<std::string_view, 10> hop_by_hop_fields{"Connection",
                                                             "Keep-Alive",
                                                             "Proxy-Connection",
                                                             "Proxy-Authenticate",
                                                             "Proxy-Authorization",
                                                             "TE",
                                                             "Trailer",
                                                             "Transfer-Encoding",
                                                             "Upgrade",
                                                             "Content-Length"};

bool same_name(std::string_view name, std::string_view other)
{
    return core::equal_ignoring_case(name, other);
}

/// Names listed in the Connection fields of `fields`.
std::vector<std::string> listed_in_connection(const std::vector<http::header>& fields)
{
    std::vector<std::string> names;
    for (const http::header& field : fields) {
        if (!same_name(field.name, "Connection")) {
            continue;
        }
        for (const std::string_view part : core::split(field.value, ',')) {
            names.emplace_back(core::trimmed(part));
        }
    }
    return names;
}

bool is_hop_by_hop(const http::header& field, const std::vector<std::string>& listed)
{
    const auto same = [&](std::string_view name) { return same_name(field.name, name); };
    return std::ranges::any_of(hop_by_hop_fields, same) || std::ranges::any_of(listed, same);
}

/// True for fields that are never forwarded as received from the caller.
bool set_by_front(const http::header& field, const header_names& names)
{
    const auto same = [&](std::string_view name) { return same_name(field.name, name); };
    return same("Authorization") || same("Expect") || same(names.deadline_ms) ||
           same(names.expected_endpoint) || same(names.workspace) || same(names.backup_at) ||
           same(names.memory_from) || std::ranges::any_of(names.reserved, same);
}

void add(std::string& text, const std::string& name, const std::string& value)
{
    absl::StrAppend(&text, name, ": ", value, "\r\n");
}

} // namespace

std::string encode_head(const caller_request& incoming, std::size_t body_bytes,
                        const request_head& added, const header_names& names)
{
    const http::request& message = incoming.message;
    std::string text = absl::StrCat(message.method, " ", message.target, " HTTP/1.1\r\n");
    const auto listed_fields = listed_in_connection(message.headers);
    for (const http::header& field : message.headers) {
        const bool replaced = added.resume_after && same_name(field.name, names.last_event_id);
        if (!replaced && !set_by_front(field, names) && !is_hop_by_hop(field, listed_fields)) {
            add(text, field.name, field.value);
        }
    }
    add(text, names.deadline_ms, absl::StrCat(added.time_left.count()));
    add(text, names.expected_endpoint, added.expected_endpoint.text());
    if (!added.workspace.empty()) {
        add(text, names.workspace, added.workspace.text());
    }
    if (added.resume_after) {
        add(text, names.last_event_id, absl::StrCat(*added.resume_after));
    }
    if (!added.backup_at.empty()) {
        add(text, names.backup_at, added.backup_at);
    }
    if (!added.memory_from.empty()) {
        add(text, names.memory_from, added.memory_from);
    }
    const bool may_have_no_body = message.method == "GET" || message.method == "HEAD";
    if (body_bytes > 0 || !may_have_no_body) {
        add(text, "Content-Length", absl::StrCat(body_bytes));
    }
    return text + "\r\n";
}

forwarding::call_size size_of(const caller_request& incoming, const header_names& names)
{
    const auto text = incoming.message.header_value(names.call_size);
    if (!text) {
        return {};
    }
    const auto parts = core::split(*text, ',');
    const auto prompt = core::parse_number<std::uint64_t>(parts.front());
    const auto output = core::parse_number<std::uint64_t>(parts.back());
    if (parts.size() != 2 || !prompt || !output) {
        return {}; // Only used to choose an engine; the engine itself validates the field.
    }
    return {*prompt, *output};
}

std::optional<forwarding::load_report> load_of(std::string_view text)
{
    constexpr std::size_t fields = 3;
    const auto parts = core::split(text, ',');
    if (parts.size() != fields) {
        return std::nullopt;
    }
    const auto running = core::parse_number<std::uint32_t>(parts[0]);
    const auto waiting = core::parse_number<std::uint32_t>(parts[1]);
    const auto slots = core::parse_number<std::uint32_t>(parts[2]);
    if (!running || !waiting || !slots) {
        return std::nullopt;
    }
    return forwarding::load_report{*running, *waiting, *slots};
}

suspects::request_digest request_digest_of(const core::workspace_id& workspace,
                                           const caller_request& incoming)
{
    // A target contains no line break, so different targets and bodies never yield the same input.
    return suspects::digest_of(workspace, {incoming.message.target, "\n", incoming.message.body});
}

std::optional<std::chrono::milliseconds> deadline_of(const caller_request& incoming,
                                                     const header_names& names)
{
    const auto text = incoming.message.header_value(names.deadline_ms);
    const auto count = core::parse_number<std::int64_t>(core::trimmed(text.value_or("")));
    if (!count || *count < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*count);
}

std::vector<http::header> answer_fields(const std::vector<http::header>& received)
{
    const auto listed_fields = listed_in_connection(received);
    std::vector<http::header> kept;
    std::ranges::copy_if(received, std::back_inserter(kept), [&](const http::header& field) {
        return !is_hop_by_hop(field, listed_fields);
    });
    return kept;
}

} // namespace ej::front
