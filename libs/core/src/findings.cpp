#include <core/findings.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace ej::core {

void findings::add(std::string place, std::string message)
{
    list_.push_back(finding{std::move(place), std::move(message)});
}

void findings::add_all(const std::string& prefix, const findings& other)
{
    std::ranges::transform(other.list_, std::back_inserter(list_), [&](const finding& found) {
        return finding{prefix + found.place, found.message};
    });
}

absl::Status findings::status() const
{
    if (empty()) {
        return absl::OkStatus();
    }
    const auto append = [](std::string text, const finding& found) {
        if (!text.empty()) {
            text += '\n';
        }
        return std::move(text) + found.place + ": " + found.message;
    };
    return absl::InvalidArgumentError(
        std::accumulate(list_.begin(), list_.end(), std::string{}, append));
}

} // namespace ej::core
