#pragma once

#include <utility>

#include "answer.h"
#include "exchange.h"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json_fwd.hpp>

namespace ej::stand_ins {

/// What a stand-in does: engine, application or platform.
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

    /// What was done so far, for `GET /stats`.
    [[nodiscard]] virtual nlohmann::json stats() = 0;

    /// Carries out faults that only this role knows.
    virtual void apply_faults(const nlohmann::json& body) = 0;
};

} // namespace ej::stand_ins
