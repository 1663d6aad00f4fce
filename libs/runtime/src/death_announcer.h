#pragma once

#include <suspects/death_record.h>

#include <boost/asio/awaitable.hpp>

namespace ej::runtime {

/// Notifies other daemons that an endpoint died. Thread-safe.
class death_announcer {
public:
    death_announcer() = default;
    virtual ~death_announcer() = default;
    death_announcer(const death_announcer&) = delete;
    death_announcer& operator=(const death_announcer&) = delete;
    death_announcer(death_announcer&&) = delete;
    death_announcer& operator=(death_announcer&&) = delete;

    /// Returns when all daemons that can be reached have acknowledged the record, or after a short
    /// timeout.
    virtual boost::asio::awaitable<void> announce(suspects::death_record seen) = 0;
};

} // namespace ej::runtime
