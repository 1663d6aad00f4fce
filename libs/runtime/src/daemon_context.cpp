#include "daemon_context.h"

#include <limits/spare_share.h>
#include <retry/earned_budget.h>
#include <routing/two_choices.h>

#include <algorithm>
#include <iterator>

namespace ej::runtime {

namespace {

daemon_context::class_map by_name(const std::vector<core::work_class>& classes)
{
    daemon_context::class_map result;
    std::ranges::transform(classes, std::inserter(result, result.end()),
                           [](const core::work_class& one) { return std::pair(one.name, one); });
    return result;
}

} // namespace

daemon_context::daemon_context(daemon_settings given, std::shared_ptr<http::client> client)
    : settings(std::move(given)), keys(settings.workspace_keys), cursors(settings.fleet_secrets),
      calls(std::move(client)), classes(by_name(settings.classes)),
      reachable_domains(routing::reachable_domains{settings.domain, {}}),
      pools(std::make_unique<routing::two_choices>(), std::make_unique<limits::spare_share>()),
      budgets(std::make_unique<retry::earned_budget>()),
      gate(pools, [this] { return *reachable_domains.load(); }, [this] { return ids.next_seed(); })
{
    gate.set_classes(settings.classes);
}

} // namespace ej::runtime
