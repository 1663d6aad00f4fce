#pragma once

#include "action_runner.h"
#include "services.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace ej::runtime {

/// Answers the actions that peers pass to this daemon. Thread-safe.
class action_responder {
public:
    using reply_function = std::function<void(std::string payload)>;

    action_responder(boost::asio::any_io_executor executor, std::shared_ptr<services> shared,
                     std::shared_ptr<action_runner> runner)
        : executor_(std::move(executor)), shared_(std::move(shared)), runner_(std::move(runner))
    {
    }

    /// Runs what `payload` asks for and calls `reply` once, later; never for what can't be read.
    void answer(std::string_view payload, reply_function reply) const;

private:
    [[nodiscard]] core::work_class class_of(const core::class_id& name,
                                            const core::service_id& service) const;

    boost::asio::any_io_executor executor_;
    std::shared_ptr<services> shared_;
    std::shared_ptr<action_runner> runner_;
};

} // namespace ej::runtime
