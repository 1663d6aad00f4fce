#pragma once

#include <generation/event.h>

#include <string>
#include <vector>

namespace ej::generation {

/// Appends whatever arrives: the obvious relay, which knows neither attempts nor offsets.
class naive_relay {
public:
    /// Takes one event.
    void next(const event& what)
    {
        if (what.kind == event_kind::tokens) {
            answer_.insert(answer_.end(), what.tokens.begin(), what.tokens.end());
        }
    }

    [[nodiscard]] const std::vector<std::string>& answer() const { return answer_; }

private:
    std::vector<std::string> answer_;
};

} // namespace ej::generation
