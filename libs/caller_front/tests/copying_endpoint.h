#pragma once

#include "net.h"

#include <core/address.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ej::front {

/// An endpoint on a test's lane that answers each request with text that its script makes of the
/// request and of the answers sent on the same connection before.
class copying_endpoint {
public:
    /// Texts that are written one after the other.
    using script = std::function<std::vector<std::string>(
        const std::string& request, const std::vector<std::string>& earlier_answers)>;

    copying_endpoint(asio::io_context& lane, script answer);

    [[nodiscard]] core::address address() const;

private:
    struct connection {
        explicit connection(asio::io_context& lane) : socket(lane) {}

        tcp::socket socket;
        std::string received;
        std::vector<std::string> answers;
    };

    void accept();
    void read(const std::shared_ptr<connection>& from);
    void write(const std::shared_ptr<connection>& to, const std::string& request);

    asio::io_context& lane_;
    tcp::acceptor acceptor_;
    script answer_;
};

} // namespace ej::front
