#pragma once

#include "fields.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <tuple>

namespace ej::peer_wire {

/// Converts message types to JSON values using their field tables.
class writer {
public:
    template <class T>
    [[nodiscard]] static nlohmann::json write(const T& value)
    {
        auto object = nlohmann::json::object();
        const auto write_field = [&](const auto& field) {
            const auto& member = value.*field.member;
            if (field.required || member != T{}.*field.member) {
                object[field.key] = write(member);
            }
        };
        std::apply([&](const auto&... field) { (write_field(field), ...); },
                   fields(static_cast<const T*>(nullptr)));
        return object;
    }

    template <class Tag>
    [[nodiscard]] static nlohmann::json write(const core::id<Tag>& value)
    {
        return value.text();
    }

    template <class Tag>
    [[nodiscard]] static nlohmann::json write(core::number<Tag> value)
    {
        return value.value();
    }

    template <class T>
    [[nodiscard]] static nlohmann::json write(const std::vector<T>& values)
    {
        auto list = nlohmann::json::array();
        for (const auto& value : values) {
            list.push_back(write(value));
        }
        return list;
    }

    template <std::size_t Size>
    [[nodiscard]] static nlohmann::json write(const std::array<std::uint64_t, Size>& values)
    {
        return values;
    }

    [[nodiscard]] static nlohmann::json write(const std::string& value) { return value; }

    template <std::integral Number>
    [[nodiscard]] static nlohmann::json write(const Number& value)
    {
        return value;
    }

    [[nodiscard]] static nlohmann::json write(membership::member_state value)
    {
        return static_cast<int>(value);
    }
};

} // namespace ej::peer_wire
