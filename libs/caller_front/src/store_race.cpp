#include "store_race.h"

namespace ej::front {

void store_race::record_end(const absl::Status& status, bool answered)
{
    --under_way_;
    if (!over() && (answered || under_way_ == 0)) {
        end_ = status;
    }
}

} // namespace ej::front
