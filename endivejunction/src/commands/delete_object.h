#pragma once

#include "command.h"
#include "object_type.h"

namespace ej::commands {

/// Deletes a class or workspace; a conflict if it is changed concurrently.
class delete_object : public command {
public:
    explicit delete_object(const object_type& type) : type_(type) {}

    [[nodiscard]] bool needs_name() const override { return true; }
    [[nodiscard]] operator_reply run(const operator_client& daemon,
                                     const command_options& options) const override;
    [[nodiscard]] std::string text(const operator_reply& reply) const override;

private:
    const object_type& type_;
};

} // namespace ej::commands
