#pragma once

#include <string>
#include <string_view>

namespace ej::operator_api {

/// The key that authenticates operators.
class operator_key {
public:
    explicit operator_key(std::string key);

    /// True for the same, non-empty key. The time taken does not depend on where the two
    /// differ.
    [[nodiscard]] bool matches(std::string_view presented) const;

private:
    std::string key_;
};

} // namespace ej::operator_api
