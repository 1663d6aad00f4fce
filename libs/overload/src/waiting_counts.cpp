#include <overload/waiting_counts.h>

namespace ej::overload {

void waiting_counts::add(const core::service_id& service)
{
    entries_.with(service, [&](auto& entries) { ++entries[service]; });
}

void waiting_counts::remove(const core::service_id& service)
{
    entries_.with(service, [&](auto& entries) {
        const auto found = entries.find(service);
        if (found != entries.end() && --found->second == 0) {
            entries.erase(found);
        }
    });
}

std::size_t waiting_counts::of(const core::service_id& service)
{
    return entries_.with(service, [&](auto& entries) {
        const auto found = entries.find(service);
        return found == entries.end() ? std::size_t{0} : found->second;
    });
}

} // namespace ej::overload
