#include <actions_wire/names.h>

#include <seal/keyed_digest.h>

#include <string>

namespace ej::actions_wire {

namespace {

// Length first: no two lists of parts have one text.
void append(std::string& text, std::string_view part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

} // namespace

actions::action_id name_of(const seal::secret& key_secret, const core::workspace_id& workspace,
                           const core::idempotency_key& key)
{
    std::string text = "action";
    append(text, workspace.text());
    append(text, key.text());
    const seal::keyed_digest digest = seal::digest(key_secret, text);
    return {digest.high, digest.low};
}

actions::request_digest digest_of(const seal::secret& key_secret, const core::class_id& work,
                                  std::string_view path, std::string_view body)
{
    std::string text = "request";
    append(text, work.text());
    append(text, path);
    append(text, body);
    const seal::keyed_digest digest = seal::digest(key_secret, text);
    return {digest.high, digest.low};
}

} // namespace ej::actions_wire
