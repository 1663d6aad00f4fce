#include <lease/deadline_from_answer.h>

namespace ej::lease {

core::instant deadline_from_answer::until(core::instant /*sent*/, core::instant answered,
                                          core::duration ttl) const
{
    return answered + ttl;
}

} // namespace ej::lease
