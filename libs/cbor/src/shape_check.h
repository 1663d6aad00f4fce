#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace ej::cbor {

/// Stops the library's reader, which recurses with each level and throws for a size that no
/// container can have, at a value that is too deep or larger than `input_size`.
class shape_check {
public:
    explicit shape_check(std::size_t input_size) : input_size_(input_size) {}

    // Called by nlohmann::json::sax_parse.
    bool null() { return true; }
    bool boolean(bool /*value*/) { return true; }
    bool number_integer(std::int64_t /*value*/) { return true; }
    bool number_unsigned(std::uint64_t /*value*/) { return true; }
    bool number_float(double /*value*/, const std::string& /*text*/) { return true; }
    bool string(std::string& /*value*/) { return true; }
    bool binary(nlohmann::json::binary_t& /*value*/) { return true; }
    bool key(std::string& /*name*/) { return true; }
    bool start_object(std::size_t size) { return enter(size); }
    bool start_array(std::size_t size) { return enter(size); }
    bool end_object() { return leave(); }
    bool end_array() { return leave(); }
    bool parse_error(std::size_t /*place*/, const std::string& /*token*/,
                     const nlohmann::json::exception& /*error*/)
    {
        return false;
    }

private:
    static constexpr std::size_t max_depth = 16;

    bool enter(std::size_t size)
    {
        constexpr auto unknown_size = static_cast<std::size_t>(-1);
        return ++depth_ <= max_depth && (size == unknown_size || size <= input_size_);
    }

    bool leave()
    {
        --depth_;
        return true;
    }

    std::size_t input_size_;
    std::size_t depth_ = 0;
};

} // namespace ej::cbor
