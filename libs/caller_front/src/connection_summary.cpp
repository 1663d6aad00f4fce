#include "connection_summary.h"

namespace ej::front {

bool outstanding(const connection_summary& ended)
{
    return ended.phase == connection_phase::reading || ended.phase == connection_phase::answering ||
           ended.bytes_unused > 0 || ended.bytes_unread > 0;
}

} // namespace ej::front
