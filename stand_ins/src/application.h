#pragma once

#include <utility>

#include "call_counts.h"
#include "change_signal.h"
#include "fault_control.h"
#include "options.h"
#include "service.h"
#include "slot_pool.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace ej::stand_ins {

/// A service that counts executions per idempotency key and echoes the call. It does not
/// deduplicate or validate calls.
class application final : public service {
public:
    application(const boost::asio::any_io_executor& executor, const options& settings,
                std::string incarnation, std::shared_ptr<fault_control> control);

    boost::asio::awaitable<answer> handle(exchange& call) override;
    [[nodiscard]] nlohmann::json stats() override;
    void apply_faults(const nlohmann::json& body) override;

private:
    boost::asio::awaitable<answer> load(exchange& call);
    boost::asio::awaitable<answer> executions(exchange& call);
    boost::asio::awaitable<answer> await_execution(exchange& call);
    boost::asio::awaitable<answer> execute(exchange& call);

    options settings_;
    std::string incarnation_;
    std::shared_ptr<fault_control> control_;
    slot_pool slots_;
    call_counts executions_;
    change_signal executed_;
};

} // namespace ej::stand_ins
