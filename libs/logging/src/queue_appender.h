#pragma once

#include "line_queue.h"

#include <log4cplus/appender.h>

namespace ej::logging {

/// log4cplus appender that pushes formatted events to a line queue.
class queue_appender final : public log4cplus::Appender {
public:
    explicit queue_appender(int descriptor) : lines_(descriptor) {}
    ~queue_appender() override { destructorImpl(); }
    queue_appender(const queue_appender&) = delete;
    queue_appender& operator=(const queue_appender&) = delete;
    queue_appender(queue_appender&&) = delete;
    queue_appender& operator=(queue_appender&&) = delete;

    void close() override { closed = true; }

    /// Lines dropped so far.
    [[nodiscard]] std::uint64_t dropped() const { return lines_.dropped(); }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        lines_.push(formatEvent(event));
    }

private:
    line_queue lines_;
};

} // namespace ej::logging
