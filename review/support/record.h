#pragma once

#include "message.h"

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// The record of a case: one line an event, with the seconds since the start.
class record {
public:
    explicit record(const std::string& path) : file_(path), begin_(steady::now()) {}

    void line(const std::string& text);

    /// Seconds since the start.
    [[nodiscard]] double seconds() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    steady::time_point begin_;
};

} // namespace review
