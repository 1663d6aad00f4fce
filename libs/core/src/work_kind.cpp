#include <core/work_kind.h>

#include <algorithm>
#include <array>
#include <utility>

namespace ej::core {

namespace {

using entry = std::pair<work_kind, std::string_view>;

constexpr std::array<entry, 3> names{{{work_kind::generation, "generation"},
                                      {work_kind::idempotent, "idempotent"},
                                      {work_kind::non_idempotent, "non_idempotent"}}};

} // namespace

std::string_view to_string(work_kind kind)
{
    return std::ranges::find(names, kind, &entry::first)->second;
}

std::optional<work_kind> parse_work_kind(std::string_view text)
{
    const auto* const found = std::ranges::find(names, text, &entry::second);
    if (found == names.end()) {
        return std::nullopt;
    }
    return found->first;
}

} // namespace ej::core
