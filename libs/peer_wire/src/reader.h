#pragma once

#include "fields.h"

#include <core/findings.h>

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <string>
#include <tuple>

namespace ej::peer_wire {

/// Fills message types from JSON values using their field tables, and collects faults.
class reader {
public:
    explicit reader(core::findings& faults) : faults_(faults) {}

    template <class T>
    void read(const nlohmann::json& from, const std::string& place, T& value)
    {
        if (!from.is_object()) {
            faults_.add(place, "is not a map");
            return;
        }
        const auto read_field = [&](const auto& field) {
            const auto key = place + '.' + field.key;
            const auto entry = from.find(field.key);
            if (entry != from.end()) {
                read(*entry, key, value.*field.member);
            }
            else if (field.required) {
                faults_.add(key, "is missing");
            }
        };
        std::apply([&](const auto&... field) { (read_field(field), ...); },
                   fields(static_cast<const T*>(nullptr)));
    }

    template <class Tag>
    void read(const nlohmann::json& from, const std::string& place, core::id<Tag>& value)
    {
        std::string text;
        read(from, place, text);
        value = core::id<Tag>(std::move(text));
    }

    template <class Tag>
    void read(const nlohmann::json& from, const std::string& place, core::number<Tag>& value)
    {
        std::uint64_t count = 0;
        read(from, place, count);
        value = core::number<Tag>(count);
    }

    template <class T>
    void read(const nlohmann::json& from, const std::string& place, std::vector<T>& values)
    {
        if (!from.is_array() || from.size() > max_list_entries) {
            faults_.add(place, "is not a list, or too long");
            return;
        }
        values.resize(from.size());
        for (std::size_t n = 0; n < values.size(); ++n) {
            read(from[n], place + '[' + std::to_string(n) + ']', values[n]);
        }
    }

    template <std::size_t Size>
    void read(const nlohmann::json& from, const std::string& place,
              std::array<std::uint64_t, Size>& values)
    {
        if (!from.is_array() || from.size() != Size) {
            faults_.add(place, "is not a list of length " + std::to_string(Size));
            return;
        }
        for (std::size_t n = 0; n < Size; ++n) {
            read(from[n], place + '[' + std::to_string(n) + ']', values[n]);
        }
    }

    template <std::unsigned_integral Number>
    void read(const nlohmann::json& from, const std::string& place, Number& value)
    {
        if (!from.is_number_unsigned() ||
            from.template get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
            faults_.add(place, "is not a number, or out of range");
            return;
        }
        value = from.template get<Number>();
    }

    void read(const nlohmann::json& from, const std::string& place, std::string& value);
    void read(const nlohmann::json& from, const std::string& place, bool& value);
    void read(const nlohmann::json& from, const std::string& place,
              membership::member_state& value);

private:
    static constexpr std::size_t max_list_entries = 4'096;

    core::findings& faults_;
};

} // namespace ej::peer_wire
