#pragma once

#include <fleet/step.h>

#include <string>
#include <vector>

namespace ej::forward_tests {

/// Script of an endpoint that serves each request at once.
[[nodiscard]] std::vector<fleet::step> serve_at_once(const std::string& request, int number);

/// Script of an engine that streams the events that `request` asks for.
[[nodiscard]] std::vector<fleet::step> serve_events(const std::string& request, int number);

/// Script of an engine that resets a stream after its fifth event.
[[nodiscard]] std::vector<fleet::step> break_after_event_5(const std::string& request, int number);

/// The events of a whole stream.
[[nodiscard]] std::string all_events();

/// The text of a POST request with id `id` whose only deadline is that of its route.
[[nodiscard]] std::string backoff_request(const std::string& path, const std::string& id);

/// True if `text` has the part `part`.
[[nodiscard]] bool contains(const std::string& text, const std::string& part);

} // namespace ej::forward_tests
