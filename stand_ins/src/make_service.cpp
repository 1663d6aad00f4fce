#include "make_service.h"

#include "application.h"
#include "engine.h"
#include "platform.h"

#include <algorithm>
#include <array>

namespace ej::stand_ins {

namespace {

using executor_type = boost::asio::any_io_executor;
using factory = std::shared_ptr<service> (*)(const executor_type&, const options&,
                                             const std::string&, std::shared_ptr<fault_control>);

template <class Role>
std::shared_ptr<service> make(const executor_type& executor, const options& settings,
                              const std::string& incarnation,
                              std::shared_ptr<fault_control> control)
{
    return std::make_shared<Role>(executor, settings, incarnation, std::move(control));
}

constexpr std::array<std::pair<std::string_view, factory>, 3> factories{
    {{"engine", &make<engine>},
     {"application", &make<application>},
     {"platform", &make<platform>}}};

} // namespace

std::shared_ptr<service> make_service(const boost::asio::any_io_executor& executor,
                                      const options& settings, const std::string& incarnation,
                                      std::shared_ptr<fault_control> control)
{
    const auto* const found =
        std::ranges::find(factories, settings.role, &decltype(factories)::value_type::first);
    if (found == factories.end()) {
        return nullptr;
    }
    return found->second(executor, settings, incarnation, std::move(control));
}

} // namespace ej::stand_ins
