#include <config/recent_changes.h>

namespace ej::config {

change_log merge(const change_log& kept, const change_log& more, std::size_t limit)
{
    if (more.last() <= kept.last() && more.last() >= kept.after) {
        return kept;
    }
    const bool continues = more.after >= kept.after && more.after <= kept.last();
    change_log merged = continues ? kept : more;
    if (continues) {
        const change_log later = since(more, kept.last());
        merged.changes.insert(merged.changes.end(), later.changes.begin(), later.changes.end());
    }
    const std::size_t size = merged.changes.size();
    return size <= limit ? merged : since(merged, merged.after.plus(size - limit));
}

} // namespace ej::config
