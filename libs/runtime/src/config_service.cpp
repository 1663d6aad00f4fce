#include "asio.h"

#include "config_service.h"

#include <logging/log.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace ej::runtime {

namespace {

// Classes of the daemon's own settings apply unless the configuration has a class of the same name.
daemon_context::class_map classes_in_force(const daemon_context& shared,
                                           const config::configuration& accepted)
{
    daemon_context::class_map classes;
    for (const core::work_class& given : shared.settings.classes) {
        classes[given.name] = given;
    }
    for (const auto& [name, entry] : accepted.classes()) {
        classes[name] = entry.value;
    }
    return classes;
}

std::vector<core::work_class> classes_of(const daemon_context::class_map& classes)
{
    std::vector<core::work_class> all;
    std::ranges::transform(classes, std::back_inserter(all),
                           [](const auto& named) { return named.second; });
    return all;
}

config_driver::apply_function put_in_force(std::shared_ptr<daemon_context> shared)
{
    auto newest =
        std::make_shared<concurrency::snapshot<config::configuration>>(config::configuration());
    return [shared = std::move(shared), newest](const config::configuration& next) {
        newest->update([&](const config::configuration& present) {
            return next.revision() > present.revision() ? next : present;
        });
        // Updates of a snapshot are serialized, so the last one uses the newest configuration.
        shared->classes.update([&](const daemon_context::class_map& /*before*/) {
            return classes_in_force(*shared, *newest->load());
        });
        shared->gate.set_classes(classes_of(*shared->classes.load()));
        const auto revision = newest->load()->revision();
        shared->metrics.set("configuration_revision", {}, static_cast<double>(revision.value()));
        logging::log(logging::level::info, "configuration in force",
                     {{"revision", std::to_string(next.revision().value())}});
    };
}

} // namespace

config_service::config_service(const asio::any_io_executor& executor,
                               std::shared_ptr<daemon_context> shared, config_peers& peers,
                               const config::follower_settings& settings, std::uint64_t seed)
    : shared_(std::move(shared)), calls_(*shared_->calls, {shared_->settings.platform}),
      store_(calls_), driver_(std::make_shared<config_driver>(executor, settings, seed, store_,
                                                              peers, put_in_force(shared_))),
      submitter_(store_, *driver_, {}, seed)
{
}

} // namespace ej::runtime
