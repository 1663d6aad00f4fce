#pragma once

namespace ej::peer_wire {

/// One member of a message type and its key. An optional member is not sent while it has its
/// default value, and keeps its default when it is missing from a received message.
template <class Owner, class Member>
struct field {
    const char* key = nullptr;
    Member Owner::* member = nullptr;
    bool required = false;
};

} // namespace ej::peer_wire
