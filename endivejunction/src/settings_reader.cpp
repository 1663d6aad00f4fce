#include "settings_reader.h"

#include <boost/program_options/parsers.hpp>

#include <algorithm>
#include <cctype>
#include <string_view>

namespace ej {

namespace {

constexpr std::string_view environment_prefix = "EJ_";

/// The option that the environment variable EJ_FLAG_NAME sets; empty for other variables.
std::string environment_option(const boost::program_options::options_description& known,
                               const std::string& variable)
{
    if (!variable.starts_with(environment_prefix)) {
        return {};
    }
    std::string name = variable.substr(environment_prefix.size());
    std::ranges::transform(name, name.begin(), [](unsigned char character) {
        return character == '_' ? '-' : static_cast<char>(std::tolower(character));
    });
    return known.find_nothrow(name, false) == nullptr ? std::string() : name;
}

} // namespace

settings_reader::settings_reader(const boost::program_options::variables_map& values,
                                 core::findings& faults)
    : values_(values), faults_(faults)
{
}

std::string settings_reader::text(const std::string& name)
{
    if (values_.count(name) == 0 || values_[name].as<std::string>().empty()) {
        faults_.add("--" + name, "is missing");
        return {};
    }
    return values_[name].as<std::string>();
}

core::address settings_reader::address(const std::string& name)
{
    const auto given = text(name);
    const auto parsed = core::parse_address(given);
    if (!parsed && !given.empty()) {
        faults_.add("--" + name, "'" + given + "' is not HOST:PORT");
    }
    return parsed.value_or(core::address{});
}

double settings_reader::fraction(const std::string& name, double highest)
{
    const auto given = values_[name].as<double>();
    if (!(given >= 0 && given <= highest)) {
        faults_.add("--" + name, "must be 0 to " + std::to_string(highest));
    }
    return given;
}

std::chrono::milliseconds settings_reader::milliseconds(const std::string& name,
                                                        unsigned highest_ms)
{
    return std::chrono::milliseconds(number<unsigned>(name, highest_ms));
}

logging::level settings_reader::log_level()
{
    const auto level = logging::parse_level(text("log-level"));
    if (!level) {
        faults_.add("--log-level", "must be debug, info, warn or error");
    }
    return level.value_or(logging::level::info);
}

std::vector<std::string> settings_reader::list(const std::string& name) const
{
    return values_.count(name) == 0 ? std::vector<std::string>{}
                                    : values_[name].as<std::vector<std::string>>();
}

void store_arguments(std::span<const std::string> arguments,
                     const boost::program_options::options_description& known,
                     boost::program_options::variables_map& values)
{
    namespace options = boost::program_options;
    const std::vector<std::string> flags(arguments.begin(), arguments.end());
    options::store(options::command_line_parser(flags).options(known).run(), values);
    options::store(options::parse_environment(known,
                                              [&](const std::string& variable) {
                                                  return environment_option(known, variable);
                                              }),
                   values);
}

} // namespace ej
