#include <lease/deadline_from_send.h>

namespace ej::lease {

core::instant deadline_from_send::until(core::instant sent, core::instant /*answered*/,
                                        core::duration ttl) const
{
    return sent + ttl;
}

} // namespace ej::lease
