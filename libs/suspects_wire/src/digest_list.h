#pragma once

#include <suspects/request_digest.h>

#include <nlohmann/json.hpp>

#include <vector>

namespace ej::suspects_wire {

/// True for an array of unsigned numbers.
[[nodiscard]] bool is_digest_list(const nlohmann::json& value);

/// The digests as an array of numbers.
[[nodiscard]] nlohmann::json to_json(const std::vector<suspects::request_digest>& requests);

/// The digests of a list, sorted.
[[nodiscard]] std::vector<suspects::request_digest> requests_of(const nlohmann::json& value);

} // namespace ej::suspects_wire
