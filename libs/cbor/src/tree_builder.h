#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace ej::cbor {

/// Builds a value from a parser's events; ends the parsing beyond `max_depth`. Announced element
/// counts are ignored, since the elements may not follow.
class tree_builder final : public nlohmann::json::json_sax_t {
public:
    using json = nlohmann::json;

    bool null() override;
    bool boolean(bool value) override;
    bool number_integer(number_integer_t value) override;
    bool number_unsigned(number_unsigned_t value) override;
    bool number_float(number_float_t value, const string_t& text) override;
    bool string(string_t& value) override;
    bool binary(binary_t& value) override;
    bool start_object(std::size_t elements) override;
    bool key(string_t& value) override;
    bool end_object() override;
    bool start_array(std::size_t elements) override;
    bool end_array() override;
    bool parse_error(std::size_t position, const std::string& last_token,
                     const json::exception& error) override;

    /// The value built.
    [[nodiscard]] json& result() { return result_; }

private:
    json& add(json value);
    bool open(json empty);
    bool close();

    json result_;
    std::vector<json*> open_; // The arrays and objects that have begun, the innermost last.
    std::string key_;         // Of the next member of the innermost object.
};

} // namespace ej::cbor
