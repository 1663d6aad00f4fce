#pragma once

#include "command.h"
#include "object_type.h"

namespace ej::commands {

/// Lists classes or workspaces, one per line.
class list_objects : public command {
public:
    explicit list_objects(const object_type& type) : type_(type) {}

    [[nodiscard]] operator_reply run(const operator_client& daemon,
                                     const command_options& options) const override;
    [[nodiscard]] std::string text(const operator_reply& reply) const override;

private:
    const object_type& type_;
};

} // namespace ej::commands
