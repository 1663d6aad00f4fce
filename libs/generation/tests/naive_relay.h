#pragma once

#include <generation/event.h>

#include <string>
#include <vector>

namespace ej::generation {

/// Naive relay that appends all received tokens and ignores attempts and offsets.
class naive_relay {
public:
    /// Applies one event.
    void next(const event& received)
    {
        if (received.kind == event_kind::tokens) {
            answer_.insert(answer_.end(), received.tokens.begin(), received.tokens.end());
        }
    }

    [[nodiscard]] const std::vector<std::string>& answer() const { return answer_; }

private:
    std::vector<std::string> answer_;
};

} // namespace ej::generation
