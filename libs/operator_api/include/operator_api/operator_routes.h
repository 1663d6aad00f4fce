#pragma once

#include <operator_api/operator_backend.h>
#include <operator_api/operator_key.h>
#include <operator_api/operator_request.h>
#include <operator_api/operator_response.h>

#include <string>

namespace ej::operator_api {

/// Handles the requests of the operator interface. Thread-safe.
///
/// Without a key: GET /healthz, /readyz, /metrics. With the operator key: GET /status, /classes,
/// /classes/{name}, /workspaces, /workspaces/{name}; PUT and DELETE of /classes/{name} and
/// /workspaces/{name} with ?if_revision=N (the object's last seen revision; 0: it does not exist);
/// POST /drain, /restore.
class operator_routes {
public:
    /// `backend` must outlive the routes.
    operator_routes(operator_backend& backend, operator_key key);

    [[nodiscard]] operator_response answer(const operator_request& request) const;

private:
    struct route;
    using object_name = std::string;

    [[nodiscard]] operator_response healthz(const operator_request& request,
                                            const object_name&) const;
    [[nodiscard]] operator_response readyz(const operator_request& request,
                                           const object_name&) const;
    [[nodiscard]] operator_response metrics(const operator_request& request,
                                            const object_name&) const;
    [[nodiscard]] operator_response status(const operator_request& request,
                                           const object_name&) const;
    [[nodiscard]] operator_response list_classes(const operator_request&, const object_name&) const;
    [[nodiscard]] operator_response show_class(const operator_request&,
                                               const object_name& which) const;
    [[nodiscard]] operator_response put_class(const operator_request& request,
                                              const object_name& which) const;
    [[nodiscard]] operator_response delete_class(const operator_request& request,
                                                 const object_name& which) const;
    [[nodiscard]] operator_response list_workspaces(const operator_request&,
                                                    const object_name&) const;
    [[nodiscard]] operator_response show_workspace(const operator_request&,
                                                   const object_name& which) const;
    [[nodiscard]] operator_response put_workspace(const operator_request& request,
                                                  const object_name& which) const;
    [[nodiscard]] operator_response delete_workspace(const operator_request& request,
                                                     const object_name& which) const;
    [[nodiscard]] operator_response drain(const operator_request&, const object_name&) const;
    [[nodiscard]] operator_response restore(const operator_request&, const object_name&) const;
    [[nodiscard]] operator_response submit(const operator_request& request,
                                           config::action what) const;

    operator_backend& backend_;
    operator_key key_;
};

} // namespace ej::operator_api
