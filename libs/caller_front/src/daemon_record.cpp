#include "daemon_record.h"

namespace ej::front {

std::string to_string(const daemon_record& value)
{
    return core::to_string(value.peer_listen) + " " + value.domain.text();
}

std::optional<daemon_record> parse_daemon_record(std::string_view text)
{
    const auto space = text.find(' ');
    if (space == std::string_view::npos || space + 1 == text.size()) {
        return std::nullopt;
    }
    const auto where = core::parse_address(std::string(text.substr(0, space)));
    if (!where || !core::is_connectable(*where)) {
        return std::nullopt;
    }
    return daemon_record{*where, core::failure_domain_id(std::string(text.substr(space + 1)))};
}

} // namespace ej::front
