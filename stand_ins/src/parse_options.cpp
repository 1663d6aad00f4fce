#include "parse_options.h"

#include <boost/program_options.hpp>

namespace ej::stand_ins {

namespace {

namespace po = boost::program_options;

po::options_description flags(options& into)
{
    po::options_description flags;
    auto add = flags.add_options();
    add("role", po::value(&into.role)->required());
    add("listen", po::value<std::string>(), "HOST:PORT; port 0 lets the system choose");
    add("platform", po::value<std::string>(), "HOST:PORT of the platform's VM list");
    add("name", po::value(&into.name)->default_value("vm"));
    add("domain", po::value(&into.domain)->default_value("domain"));
    add("service", po::value(&into.service));
    add("model", po::value(&into.models), "loaded model; can be repeated");
    add("slots", po::value(&into.slots), "maximum number of concurrent calls");
    add("threads", po::value(&into.threads));
    add("cached-prefixes", po::value(&into.cached_prefixes));
    add("tokens-per-second", po::value(&into.tokens_per_second), "per stream");
    add("prefill-ms", po::value(&into.prefill_ms));
    add("service-ms", po::value(&into.service_ms));
    add("latency-ms", po::value(&into.latency_ms));
    add("check-fencing", po::bool_switch(&into.check_fencing));
    return flags;
}

absl::StatusOr<core::address> address_flag(const po::variables_map& values, const char* name)
{
    const auto address = core::parse_address(values[name].as<std::string>());
    if (!address) {
        return absl::InvalidArgumentError(std::string(name) + ": expected HOST:PORT");
    }
    return *address;
}

} // namespace

absl::StatusOr<options> parse_options(int count, const char* const* arguments)
{
    options parsed;
    const auto description = flags(parsed);
    po::positional_options_description role;
    role.add("role", 1);
    po::variables_map values;
    try {
        po::store(
            po::command_line_parser(count, arguments).options(description).positional(role).run(),
            values);
        po::notify(values);
    }
    catch (const po::error& error) {
        return absl::InvalidArgumentError(error.what());
    }
    if (values.contains("listen")) {
        const auto listen = address_flag(values, "listen");
        if (!listen.ok()) {
            return listen.status();
        }
        parsed.listen = *listen;
    }
    if (values.contains("platform")) {
        const auto platform = address_flag(values, "platform");
        if (!platform.ok()) {
            return platform.status();
        }
        parsed.platform = *platform;
    }
    return parsed;
}

} // namespace ej::stand_ins
