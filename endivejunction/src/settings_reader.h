#pragma once

#include <core/address.h>
#include <core/findings.h>

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace ej {

/// Reads one option after another and notes each fault with its place.
class settings_reader {
public:
    /// Both outlive the reader.
    settings_reader(const boost::program_options::variables_map& values, core::findings& faults);

    /// The text of `name`; a finding if it is missing or empty.
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

    /// All values of an option that may be repeated.
    [[nodiscard]] std::vector<std::string> list(const std::string& name) const;

private:
    const boost::program_options::variables_map& values_;
    core::findings& faults_;
};

/// The option that the environment variable EJ_FLAG_NAME stands for; empty for other variables.
[[nodiscard]] std::string
environment_option(const boost::program_options::options_description& known,
                   const std::string& variable);

} // namespace ej
