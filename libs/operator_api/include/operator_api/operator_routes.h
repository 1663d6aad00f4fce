#pragma once

#include <operator_api/operator_answer.h>
#include <operator_api/operator_backend.h>
#include <operator_api/operator_key.h>
#include <operator_api/operator_request.h>

#include <string>

namespace ej::operator_api {

/// Answers the requests of the operator interface. Thread-safe.
///
/// GET /healthz, /readyz and /metrics need no key. With the operator key: GET /status,
/// GET /classes, /classes/{name}, /workspaces, /workspaces/{name}; PUT and DELETE of a name with
/// ?if_revision=N (the object's revision as seen; 0: absent); POST /drain, /restore.
class operator_routes {
public:
    /// `backend` outlives the routes.
    operator_routes(operator_backend& backend, operator_key key);

    [[nodiscard]] operator_answer answer(const operator_request& request) const;

private:
    struct route;
    using name = std::string;

    [[nodiscard]] operator_answer healthz(const operator_request& request, const name&) const;
    [[nodiscard]] operator_answer readyz(const operator_request& request, const name&) const;
    [[nodiscard]] operator_answer metrics(const operator_request& request, const name&) const;
    [[nodiscard]] operator_answer status(const operator_request& request, const name&) const;
    [[nodiscard]] operator_answer list_classes(const operator_request&, const name&) const;
    [[nodiscard]] operator_answer show_class(const operator_request&, const name& which) const;
    [[nodiscard]] operator_answer put_class(const operator_request& request,
                                            const name& which) const;
    [[nodiscard]] operator_answer delete_class(const operator_request& request,
                                               const name& which) const;
    [[nodiscard]] operator_answer list_workspaces(const operator_request&, const name&) const;
    [[nodiscard]] operator_answer show_workspace(const operator_request&, const name& which) const;
    [[nodiscard]] operator_answer put_workspace(const operator_request& request,
                                                const name& which) const;
    [[nodiscard]] operator_answer delete_workspace(const operator_request& request,
                                                   const name& which) const;
    [[nodiscard]] operator_answer drain(const operator_request&, const name&) const;
    [[nodiscard]] operator_answer restore(const operator_request&, const name&) const;
    [[nodiscard]] operator_answer submit(const operator_request& request,
                                         config::action what) const;

    operator_backend& backend_;
    operator_key key_;
};

} // namespace ej::operator_api
