#pragma once

#include "action_runner.h"
#include "daemon_context.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace ej::runtime {

/// Runs the actions that peers forward to this daemon. Thread-safe.
class action_responder {
public:
    using reply_function = std::function<void(std::string payload)>;

    action_responder(boost::asio::any_io_executor executor, std::shared_ptr<daemon_context> shared,
                     std::shared_ptr<action_runner> runner)
        : executor_(std::move(executor)), shared_(std::move(shared)), runner_(std::move(runner))
    {
    }

    /// Runs the forwarded call in `payload` and calls `reply` once, after this returns. A malformed
    /// payload is dropped and counted, and `reply` is not called.
    void answer(std::string_view payload, reply_function reply) const;

private:
    [[nodiscard]] core::work_class class_of(const core::class_id& name,
                                            const core::service_id& service) const;

    boost::asio::any_io_executor executor_;
    std::shared_ptr<daemon_context> shared_;
    std::shared_ptr<action_runner> runner_;
};

} // namespace ej::runtime
