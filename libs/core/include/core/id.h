#pragma once

#include <compare>
#include <ostream>
#include <string>
#include <utility>

namespace ej::core {

/// A textual identifier that cannot be mixed up with one of another kind. Empty means "none".
template <class Tag>
class id {
public:
    id() = default;
    explicit id(std::string text) : text_(std::move(text)) {}

    /// The identifier's characters.
    [[nodiscard]] const std::string& text() const { return text_; }

    /// True for an identifier that names nothing.
    [[nodiscard]] bool empty() const { return text_.empty(); }

    friend auto operator<=>(const id&, const id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const id& value)
    {
        return out << value.text_;
    }

private:
    std::string text_;
};

} // namespace ej::core
