#pragma once

#include <string>
#include <string_view>

namespace ej::operator_api {

/// The key with which operators authenticate.
class operator_key {
public:
    explicit operator_key(std::string key);

    /// True for the same, non-empty key; takes as long wherever the two differ.
    [[nodiscard]] bool matches(std::string_view presented) const;

private:
    std::string key_;
};

} // namespace ej::operator_api
