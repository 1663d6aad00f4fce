#pragma once

#include <lease/platform_answer.h>
#include <lease/platform_call.h>

#include <core/instant.h>

#include <map>
#include <optional>
#include <string>

namespace ej::lease {

/// A simulated platform with its leases and one key.
class platform {
public:
    platform_answer handle(const platform_call& call, core::instant now, core::duration ttl)
    {
        expire(now);
        platform_answer refused{call.number, answer_kind::refused, {}, {}};
        if (call.kind == call_kind::create) {
            const lease_id created("lease" + std::to_string(++leases_created_));
            leases_[created] = now + ttl;
            return {call.number, answer_kind::done, created, {}};
        }
        if (call.kind == call_kind::read) {
            return owner_ ? platform_answer{call.number, answer_kind::done, *owner_, fencing_}
                          : refused;
        }
        if (!leases_.contains(call.lease)) {
            return refused;
        }
        if (call.kind == call_kind::renew) {
            leases_[call.lease] = now + ttl;
            return {call.number, answer_kind::done, {}, {}};
        }
        if (owner_) {
            return refused;
        }
        owner_ = call.lease;
        fencing_ = core::fencing_number(++revision_);
        return {call.number, answer_kind::done, {}, fencing_};
    }

    [[nodiscard]] core::fencing_number fencing() const { return fencing_; }

private:
    void expire(core::instant now)
    {
        std::erase_if(leases_, [&](const auto& lease) { return lease.second <= now; });
        if (owner_ && !leases_.contains(*owner_)) {
            owner_.reset();
        }
    }

    std::map<lease_id, core::instant> leases_;
    std::optional<lease_id> owner_;
    core::fencing_number fencing_;
    std::uint64_t revision_ = 0;
    std::uint64_t leases_created_ = 0;
};

} // namespace ej::lease
