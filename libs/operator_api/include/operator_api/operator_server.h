#pragma once

#include <operator_api/operator_backend.h>

#include <core/address.h>

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace ej::operator_api {

/// Serves the operator interface over HTTP on its own threads.
class operator_server {
public:
    /// Listens on `listen` (port 0: any free port); `backend` must outlive the server.
    /// Error: Unavailable when the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<operator_server>>
    start(const core::address& listen, operator_backend& backend, std::string key);

    /// Answers the requests already received, then stops.
    ~operator_server();
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;
    operator_server(operator_server&&) = delete;
    operator_server& operator=(operator_server&&) = delete;

    /// The bound address.
    [[nodiscard]] core::address local() const;

private:
    struct impl;
    explicit operator_server(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace ej::operator_api
