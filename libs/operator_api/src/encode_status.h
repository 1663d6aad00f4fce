#pragma once

#include <operator_api/daemon_status.h>

#include <config/submission_result.h>

#include <core/findings.h>

#include <string>

namespace ej::operator_api {

/// A daemon's status as JSON text.
[[nodiscard]] std::string encode_status(const daemon_status& status);

/// {"revision":N}
[[nodiscard]] std::string encode_revision(core::revision revision);

/// {"error":"...","revision":N,"findings":[{"place","message"}]}
[[nodiscard]] std::string encode_error(const std::string& error, core::revision revision = {},
                                       const core::findings& faults = {});

} // namespace ej::operator_api
