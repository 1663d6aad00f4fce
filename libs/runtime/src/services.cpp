#include "services.h"

#include <limits/spare_share.h>
#include <routing/two_choices.h>

#include <algorithm>
#include <iterator>

namespace ej::runtime {

namespace {

services::class_map by_name(const std::vector<core::work_class>& classes)
{
    services::class_map result;
    std::ranges::transform(classes, std::inserter(result, result.end()),
                           [](const core::work_class& one) { return std::pair(one.name, one); });
    return result;
}

} // namespace

services::services(daemon_settings given, std::shared_ptr<http::client> client)
    : settings(std::move(given)), keys(settings.workspace_keys), cursors(settings.fleet_secrets),
      calls(std::move(client)), classes(by_name(settings.classes)),
      pools(std::make_unique<routing::two_choices>(), std::make_unique<limits::spare_share>())
{
}

} // namespace ej::runtime
