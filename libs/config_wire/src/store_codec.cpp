#include <config_wire/store_codec.h>

#include "change_json.h"
#include "parse.h"

namespace ej::config_wire {

std::string encode_change_log(const config::change_log& log)
{
    return change_log_to_json(log).dump();
}

absl::StatusOr<config::change_log> parse_change_log(std::string_view text)
{
    return parse_text(text, change_log_from_json);
}

std::string encode_configuration(const config::configuration& value)
{
    return configuration_to_json(value).dump();
}

absl::StatusOr<config::configuration> parse_configuration(std::string_view text)
{
    return parse_text(text, configuration_from_json);
}

} // namespace ej::config_wire
