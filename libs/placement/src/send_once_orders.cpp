#include <placement/send_once_orders.h>

namespace ej::placement {

std::vector<order> send_once_orders::orders(const plan& desired,
                                            const std::vector<engine>& observed,
                                            core::fencing_number fencing)
{
    std::vector<order> out;
    for (const auto& host : observed) {
        const auto models = desired.models_of(host.name);
        const auto [place, first] = sent_.try_emplace(host.name, models);
        if (first || place->second != models) {
            place->second = models;
            out.push_back({host.name, fencing, models});
        }
    }
    return out;
}

} // namespace ej::placement
