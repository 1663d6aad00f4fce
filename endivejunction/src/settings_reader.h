#pragma once

#include <core/address.h>
#include <core/findings.h>
#include <logging/level.h>

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <chrono>
#include <span>
#include <string>
#include <vector>

namespace ej {

/// Reads parsed options as typed values and adds each fault with its place to the findings.
class settings_reader {
public:
    /// Both outlive the reader.
    settings_reader(const boost::program_options::variables_map& values, core::findings& faults);

    /// The text of option `name`; adds a finding if it is missing or empty.
    std::string text(const std::string& name);

    /// HOST:PORT.
    core::address address(const std::string& name);

    /// A whole number from 1 to `highest`.
    template <class Number>
    Number number(const std::string& name, Number highest)
    {
        const auto given = values_[name].as<Number>();
        if (given < 1 || given > highest) {
            faults_.add("--" + name, "must be 1 to " + std::to_string(highest));
        }
        return given;
    }

    /// A number from 0 to `highest`.
    double fraction(const std::string& name, double highest);

    /// A time in ms, from 1 to `highest_ms`.
    std::chrono::milliseconds milliseconds(const std::string& name, unsigned highest_ms);

    /// The level given by `log-level`.
    logging::level log_level();

    /// All values of an option that may be repeated.
    [[nodiscard]] std::vector<std::string> list(const std::string& name) const;

private:
    const boost::program_options::variables_map& values_;
    core::findings& faults_;
};

/// Stores flags, then environment variables EJ_FLAG_NAME of the options `known`; the first value
/// stored for an option counts. Throws boost::program_options::error.
void store_arguments(std::span<const std::string> arguments,
                     const boost::program_options::options_description& known,
                     boost::program_options::variables_map& values);

} // namespace ej
