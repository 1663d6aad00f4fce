#include <forwarding/indexed_ruleset.h>

#include <core/text.h>

#include <algorithm>
#include <utility>

namespace ej::forwarding {

namespace {

std::string host_name(std::string_view host)
{
    return core::lower_case(host.substr(0, host.find(':')));
}

} // namespace

indexed_ruleset::indexed_ruleset(ruleset rules) : rules_(std::move(rules))
{
    for (std::size_t index = 0; index < rules_.routes.size(); ++index) {
        routes_by_host_[rules_.routes[index].host].push_back(index);
    }
    for (auto& [host, indexes] : routes_by_host_) {
        std::ranges::stable_sort(indexes, std::greater<>(), [&](std::size_t index) {
            return rules_.routes[index].prefix.size();
        });
    }
    for (std::size_t index = 0; index < rules_.services.size(); ++index) {
        services_.emplace(rules_.services[index].name, index);
    }
    if (!rules_.workspaces) {
        return;
    }
    for (const workspace_access& access : *rules_.workspaces) {
        for (const std::string& key : access.keys) {
            holders_.emplace(key, key_holder{access.name, access.priority});
        }
    }
}

const route* indexed_ruleset::find_route(std::string_view host, std::string_view path) const
{
    const auto known = routes_by_host_.find(host_name(host));
    if (known == routes_by_host_.end()) {
        return nullptr;
    }
    const auto match = std::ranges::find_if(known->second, [&](std::size_t index) {
        return path.starts_with(rules_.routes[index].prefix);
    });
    return match == known->second.end() ? nullptr : &rules_.routes[*match];
}

const key_holder* indexed_ruleset::find_holder(std::string_view key) const
{
    const auto found = holders_.find(std::string(key));
    return found == holders_.end() ? nullptr : &found->second;
}

const service_profile* indexed_ruleset::find_service(const core::service_id& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &rules_.services[found->second];
}

bool indexed_ruleset::requires_key(const route& which) const
{
    return which.needs_key && rules_.workspaces.has_value();
}

} // namespace ej::forwarding
