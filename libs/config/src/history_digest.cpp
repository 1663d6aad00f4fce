#include <config/history_digest.h>

#include <xxhash.h>

namespace ej::config {

history_digest extend(history_digest before, const change_id& id)
{
    return history_digest(XXH3_64bits_withSeed(id.text().data(), id.text().size(), before.value()));
}

} // namespace ej::config
