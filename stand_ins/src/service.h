#pragma once

#include <utility>

#include "answer.h"
#include "exchange.h"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json_fwd.hpp>

namespace ej::stand_ins {

/// The role of a stand-in: engine, application or platform.
class service {
public:
    service() = default;
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    service(service&&) = delete;
    service& operator=(service&&) = delete;
    virtual ~service() = default;

    /// Answers one call. Throws `nlohmann::json::exception` on a malformed body.
    virtual boost::asio::awaitable<answer> handle(exchange& call) = 0;

    /// Counters for `GET /stats`.
    [[nodiscard]] virtual nlohmann::json stats() = 0;

    /// Applies faults that are specific to this role.
    virtual void apply_faults(const nlohmann::json& body) = 0;
};

} // namespace ej::stand_ins
