#include "call_counts.h"

#include <nlohmann/json.hpp>

namespace ej::stand_ins {

void call_counts::add(const std::string& name, std::uint64_t count)
{
    counts_.with(name, [&](auto& entries) { entries[name] += count; });
}

nlohmann::json call_counts::to_json()
{
    auto all = nlohmann::json::object();
    counts_.for_each_shard([&](const auto& entries) {
        for (const auto& [name, count] : entries) {
            all[name] = count;
        }
    });
    return all;
}

} // namespace ej::stand_ins
