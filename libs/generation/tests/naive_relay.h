#pragma once

#include <generation/event.h>

#include <string>
#include <vector>

namespace ej::generation {

/// Appends whatever arrives: the obvious relay, which knows neither attempts nor offsets.
class naive_relay {
public:
    /// Takes one event.
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
