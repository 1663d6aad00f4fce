#include <actions_wire/action_digests.h>

#include <seal/keyed_digest.h>

#include <string>

namespace ej::actions_wire {

namespace {

// The length prefix keeps different lists of parts from giving the same text.
void append(std::string& text, std::string_view part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

// The key is fixed: with a rotated secret, one idempotency key would map to two actions and run
// twice.
seal::keyed_digest fixed_key_digest(std::string_view text)
{
    static const seal::secret fixed_key{"endivejunction names of actions"};
    return seal::digest(fixed_key, text);
}

} // namespace

actions::action_id action_id_of(const core::workspace_id& workspace,
                                const core::idempotency_key& key)
{
    std::string text = "action";
    append(text, workspace.text());
    append(text, key.text());
    const auto digest = fixed_key_digest(text);
    return {digest.high, digest.low};
}

actions::request_digest digest_of(const core::class_id& work, std::string_view path,
                                  std::string_view body)
{
    std::string text = "request";
    append(text, work.text());
    append(text, path);
    append(text, body);
    const auto digest = fixed_key_digest(text);
    return {digest.high, digest.low};
}

} // namespace ej::actions_wire
