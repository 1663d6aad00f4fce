#pragma once

#include "command.h"

#include <string>

namespace ej::commands {

/// Posts an order without parameters, such as drain, to one daemon.
class post_command : public command {
public:
    post_command(std::string path, std::string done)
        : path_(std::move(path)), done_(std::move(done))
    {
    }

    [[nodiscard]] operator_reply run(const operator_client& daemon,
                                     const command_options& /*options*/) const override
    {
        return daemon.call("POST", path_);
    }
    [[nodiscard]] std::string text(const operator_reply& /*reply*/) const override { return done_; }

private:
    std::string path_;
    std::string done_;
};

} // namespace ej::commands
