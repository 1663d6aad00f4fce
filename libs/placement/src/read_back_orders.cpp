#include <placement/read_back_orders.h>

namespace ej::placement {

std::vector<order> read_back_orders::orders(const plan& desired,
                                            const std::vector<engine>& observed,
                                            core::fencing_number fencing)
{
    std::vector<order> out;
    for (const auto& host : observed) {
        auto models = desired.models_of(host.name);
        if (models != host.loaded) {
            out.push_back({host.name, fencing, std::move(models)});
        }
    }
    return out;
}

} // namespace ej::placement
