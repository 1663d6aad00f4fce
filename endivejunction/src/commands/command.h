#pragma once

#include "command_options.h"
#include "operator_client.h"
#include "operator_reply.h"

namespace ej::commands {

/// One command of the operators' command line.
class command {
public:
    command() = default;
    virtual ~command() = default;
    command(const command&) = delete;
    command& operator=(const command&) = delete;
    command(command&&) = delete;
    command& operator=(command&&) = delete;

    /// True if the command needs the name of an object.
    [[nodiscard]] virtual bool needs_name() const { return false; }

    /// Calls the daemon and returns its last reply.
    [[nodiscard]] virtual operator_reply run(const operator_client& daemon,
                                             const command_options& options) const = 0;

    /// The reply's body as human-readable text.
    [[nodiscard]] virtual std::string text(const operator_reply& reply) const = 0;
};

} // namespace ej::commands
