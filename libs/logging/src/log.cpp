#include <logging/log.h>

#include "queue_appender.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <numeric>
#include <string>
#include <utility>

namespace ej::logging {

namespace {

using entry = std::pair<std::string_view, level>;

constexpr std::array<entry, 4> names{{{"debug", level::debug},
                                      {"info", level::info},
                                      {"warn", level::warn},
                                      {"error", level::error}}};

constexpr std::array<log4cplus::LogLevel, 4> library_levels{
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL,
    log4cplus::ERROR_LOG_LEVEL};

constexpr auto* line_pattern = "%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %m%n";

log4cplus::LogLevel library_level(level severity)
{
    return library_levels.at(static_cast<std::size_t>(severity));
}

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance("endivejunction");
}

/// The value, in quotes if it is empty or has characters that would end it early.
std::string quoted(const std::string& value)
{
    if (value.find_first_of(" \"\n=") == std::string::npos && !value.empty()) {
        return value;
    }
    std::string text = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += character == '\n' ? ' ' : character;
    }
    return text + '"';
}

log4cplus::SharedAppenderPtr make_appender(output where)
{
    if (where == output::standard_output) {
        return log4cplus::SharedAppenderPtr(new queue_appender(STDOUT_FILENO));
    }
    constexpr bool to_standard_error = true;
    constexpr bool flush_each_line = true;
    return log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(to_standard_error, flush_each_line));
}

} // namespace

std::optional<level> parse_level(std::string_view name)
{
    const auto* const found = std::ranges::find(names, name, &entry::first);
    if (found == names.end()) {
        return std::nullopt;
    }
    return found->second;
}

void start(level lowest, output where)
{
    static const log4cplus::Initializer library;
    log4cplus::SharedAppenderPtr appender = make_appender(where);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(line_pattern));
    auto target = logger();
    target.removeAllAppenders();
    target.addAppender(appender);
    target.setLogLevel(library_level(lowest));
}

std::uint64_t dropped_lines()
{
    std::uint64_t total = 0;
    for (const log4cplus::SharedAppenderPtr& one : logger().getAllAppenders()) {
        const auto* const queued = dynamic_cast<const queue_appender*>(one.get());
        total += queued == nullptr ? 0 : queued->dropped();
    }
    return total;
}

void stop()
{
    logger().removeAllAppenders();
}

void log(level severity, std::string_view message, const std::vector<field>& fields)
{
    auto target = logger();
    if (!target.isEnabledFor(library_level(severity))) {
        return;
    }
    const auto text = std::accumulate(
        fields.begin(), fields.end(), std::string(message), [](std::string line, const field& one) {
            return std::move(line) + ' ' + one.name + '=' + quoted(one.value);
        });
    target.log(library_level(severity), text);
}

} // namespace ej::logging
