#pragma once

#include "crowd_script.h"

#include <core/address.h>

#include <cstddef>
#include <vector>

namespace ej::crowd_tests {

/// Clients that send at the same time, read nothing and keep their connections open.
class crowd {
public:
    crowd() = default;
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    crowd(crowd&&) = delete;
    crowd& operator=(crowd&&) = delete;

    /// Connects `count` clients to `where`.
    void add(std::size_t count, const core::address& where, const crowd_script& script);

    /// Sends until every client has sent everything, lost its connection, or waits for a daemon
    /// that reads no more.
    void press();

    /// Closes all connections.
    void leave();

private:
    struct client {
        int socket = -1;
        crowd_script script;
        std::size_t place = 0; // In the whole text.
        bool done = false;
    };

    static void send_some(client& one);

    std::vector<client> clients_;
};

} // namespace ej::crowd_tests
