#pragma once

#include "daemon_fixture.h"

#include <vector>

namespace ej::forward_tests {

/// Two daemons in different failure domains that share the store of the first one.
class daemon_pair {
public:
    daemon_pair();

    /// Writes the configuration and starts both daemons.
    void start();

    /// Stops both daemons and starts them again.
    void restart();

    /// Waits until each daemon knows the other one and `endpoints` endpoints; false after 20 s.
    [[nodiscard]] bool wait_until_connected(int endpoints) const;

    daemon_fixture first;
    daemon_fixture second;
    const std::vector<daemon_fixture*> all{&first, &second};
};

} // namespace ej::forward_tests
