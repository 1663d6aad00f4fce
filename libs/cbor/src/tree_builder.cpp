#include "tree_builder.h"

#include <cbor/parse.h>

#include <utility>

namespace ej::cbor {

nlohmann::json& tree_builder::add(json value)
{
    if (open_.empty()) {
        result_ = std::move(value);
        return result_;
    }
    json& parent = *open_.back();
    if (parent.is_array()) {
        parent.push_back(std::move(value));
        return parent.back();
    }
    return parent[key_] = std::move(value);
}

bool tree_builder::open(json empty)
{
    // The parser recurses for each level.
    if (open_.size() == max_depth) {
        return false;
    }
    open_.push_back(&add(std::move(empty)));
    return true;
}

bool tree_builder::close()
{
    open_.pop_back();
    return true;
}

bool tree_builder::null()
{
    add(nullptr);
    return true;
}

bool tree_builder::boolean(bool value)
{
    add(value);
    return true;
}

bool tree_builder::number_integer(number_integer_t value)
{
    add(value);
    return true;
}

bool tree_builder::number_unsigned(number_unsigned_t value)
{
    add(value);
    return true;
}

bool tree_builder::number_float(number_float_t value, const string_t&)
{
    add(value);
    return true;
}

bool tree_builder::string(string_t& value)
{
    add(std::move(value));
    return true;
}

bool tree_builder::binary(binary_t& value)
{
    add(json::binary(std::move(value)));
    return true;
}

bool tree_builder::start_object(std::size_t)
{
    return open(json::object());
}

bool tree_builder::key(string_t& value)
{
    key_ = std::move(value);
    return true;
}

bool tree_builder::end_object()
{
    return close();
}

bool tree_builder::start_array(std::size_t)
{
    return open(json::array());
}

bool tree_builder::end_array()
{
    return close();
}

bool tree_builder::parse_error(std::size_t, const std::string&, const json::exception&)
{
    return false;
}

} // namespace ej::cbor
