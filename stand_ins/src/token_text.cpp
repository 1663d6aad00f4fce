#include <stand_ins/token_text.h>

#include <xxhash.h>

#include <algorithm>

namespace ej::stand_ins {

namespace {

constexpr std::uint64_t other_text_seed = 0x9e3779b97f4a7c15ULL;
constexpr std::size_t letters = 5;
constexpr std::uint64_t alphabet = 26;

} // namespace

std::string token_at(std::string_view prompt, std::uint64_t offset, text_variant variant)
{
    const std::uint64_t seed = variant == text_variant::usual ? offset : offset ^ other_text_seed;
    std::uint64_t hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(), seed);
    std::string token(letters, 'a');
    std::ranges::generate(token, [&] {
        const auto letter = static_cast<char>('a' + hash % alphabet);
        hash /= alphabet;
        return letter;
    });
    return token + ' ';
}

std::string answer_text(std::string_view prompt, std::uint64_t count)
{
    std::string text;
    for (std::uint64_t offset = 0; offset < count; ++offset) {
        text += token_at(prompt, offset);
    }
    return text;
}

std::vector<std::string> split_tokens(std::string_view text)
{
    std::vector<std::string> tokens;
    while (!text.empty()) {
        const auto space = std::min(text.find(' '), text.size() - 1);
        tokens.emplace_back(text.substr(0, space + 1));
        text.remove_prefix(space + 1);
    }
    return tokens;
}

core::digest extend_digest(core::digest before, std::string_view token)
{
    return core::digest(XXH3_64bits_withSeed(token.data(), token.size(), before.value()));
}

} // namespace ej::stand_ins
