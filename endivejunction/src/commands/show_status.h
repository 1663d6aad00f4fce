#pragma once

#include "command.h"

namespace ej::commands {

/// Shows the status of one daemon.
class show_status : public command {
public:
    [[nodiscard]] operator_reply run(const operator_client& daemon,
                                     const command_options& options) const override;
    [[nodiscard]] std::string text(const operator_reply& reply) const override;
};

} // namespace ej::commands
