#include <lease/candidate.h>

#include <algorithm>
#include <array>

namespace ej::lease {

candidate::candidate(lease_settings settings, const deadline_strategy& strategy)
    : settings_(settings), strategy_(strategy)
{
}

std::optional<platform_call> candidate::tick(core::instant now)
{
    if (held_ && !held_->valid_at(now)) {
        held_.reset();
    }
    if (pending_) {
        if (now - pending_->sent < settings_.call_timeout) {
            return std::nullopt;
        }
        return answer({pending_->call.number, answer_kind::lost, {}, {}}, now);
    }
    if (now < next_call_at_) {
        return std::nullopt;
    }
    if (!lease_.empty() && now >= lease_expiry_) {
        return drop_lease(now);
    }
    return send(held_ ? call_kind::renew : call_kind::read, now);
}

std::optional<platform_call> candidate::answer(const platform_answer& got, core::instant now)
{
    if (!pending_ || pending_->call.number != got.number) {
        return std::nullopt;
    }
    const auto call = *pending_;
    pending_.reset();
    if (held_ && !held_->valid_at(now)) {
        held_.reset();
    }
    return handle_answer(call, got, now);
}

std::optional<platform_call> candidate::handle_answer(const pending_call& call,
                                                      const platform_answer& got, core::instant now)
{
    using handler = std::optional<platform_call> (candidate::*)(
        const pending_call&, const platform_answer&, core::instant);
    static constexpr std::array<handler, 4> handlers{&candidate::on_create, &candidate::on_claim,
                                                     &candidate::on_read, &candidate::on_renew};
    return (this->*handlers.at(static_cast<std::size_t>(call.call.kind)))(call, got, now);
}

std::optional<platform_call> candidate::on_create(const pending_call& call,
                                                  const platform_answer& got, core::instant now)
{
    if (got.kind != answer_kind::done) {
        return drop_lease(now);
    }
    lease_ = got.lease;
    extend(call.sent, now);
    return send(call_kind::claim, now);
}

std::optional<platform_call> candidate::on_claim(const pending_call& /*call*/,
                                                 const platform_answer& got, core::instant now)
{
    if (got.kind == answer_kind::lost) {
        return send(call_kind::read, now);
    }
    if (got.kind == answer_kind::refused) {
        return drop_lease(now);
    }
    held_ = held_lease{got.fencing, lease_expiry_};
    next_call_at_ = now + settings_.renew_every;
    return std::nullopt;
}

// Before a lease is created, the read checks that the key is absent: a read costs the platform less
// than a write. After a claim whose answer was lost, it finds out whether the claim took effect,
// because the key records the lease that wrote it.
std::optional<platform_call> candidate::on_read(const pending_call& /*call*/,
                                                const platform_answer& got, core::instant now)
{
    if (got.kind == answer_kind::lost) {
        next_call_at_ = now + settings_.retry_every;
        return std::nullopt;
    }
    if (got.kind == answer_kind::refused) {
        return send(lease_.empty() ? call_kind::create : call_kind::claim, now);
    }
    if (lease_.empty() || got.lease != lease_) {
        return drop_lease(now);
    }
    held_ = held_lease{got.fencing, lease_expiry_};
    next_call_at_ = now + settings_.renew_every;
    return std::nullopt;
}

std::optional<platform_call> candidate::on_renew(const pending_call& call,
                                                 const platform_answer& got, core::instant now)
{
    if (got.kind == answer_kind::refused) {
        return drop_lease(now);
    }
    if (got.kind == answer_kind::done) {
        extend(call.sent, now);
    }
    next_call_at_ = got.kind == answer_kind::done ? call.sent + settings_.renew_every
                                                  : now + settings_.retry_every;
    return std::nullopt;
}

void candidate::extend(core::instant sent, core::instant now)
{
    lease_expiry_ = strategy_.until(sent, now, settings_.ttl);
    if (held_) {
        held_ = held_lease{held_->fencing, lease_expiry_};
    }
}

std::optional<platform_call> candidate::drop_lease(core::instant now)
{
    held_.reset();
    lease_ = {};
    next_call_at_ = now + settings_.retry_every;
    return std::nullopt;
}

std::optional<platform_call> candidate::send(call_kind kind, core::instant now)
{
    last_number_ = last_number_.next();
    const bool named = kind == call_kind::claim || kind == call_kind::renew;
    platform_call call{kind, last_number_, named ? lease_ : lease_id{}};
    pending_ = pending_call{call, now};
    return call;
}

core::instant candidate::next_wake() const
{
    const auto due = pending_ ? pending_->sent + settings_.call_timeout : next_call_at_;
    return held_ ? std::min(due, held_->until) : due;
}

} // namespace ej::lease
