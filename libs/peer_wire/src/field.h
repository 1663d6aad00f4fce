#pragma once

namespace ej::peer_wire {

/// One member of a message's type and its key. A member with its default value is not sent, and a
/// missing one is left at its default, unless it is required.
template <class Owner, class Member>
struct field {
    const char* key = nullptr;
    Member Owner::* member = nullptr;
    bool required = false;
};

} // namespace ej::peer_wire
