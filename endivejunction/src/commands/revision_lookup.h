#pragma once

#include "operator_client.h"
#include "operator_reply.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ej::commands {

/// The revision of an object that a change expects.
struct revision_lookup {
    std::optional<std::uint64_t> revision; ///< nullopt: `reply` holds the error.
    operator_reply reply;

    friend auto operator<=>(const revision_lookup&, const revision_lookup&) = default;
};

/// `given` if there is one, else the present revision of the object at `path`.
[[nodiscard]] revision_lookup look_up_revision(const operator_client& daemon,
                                               const std::string& path,
                                               std::optional<std::uint64_t> given);

} // namespace ej::commands
