#pragma once

#include <utility>

#include "fault_control.h"
#include "options.h"
#include "service.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace ej::stand_ins {

/// Creates the service for `settings.role`; null if the role is unknown.
[[nodiscard]] std::shared_ptr<service> make_service(const boost::asio::any_io_executor& executor,
                                                    const options& settings,
                                                    const std::string& incarnation,
                                                    std::shared_ptr<fault_control> control);

} // namespace ej::stand_ins
