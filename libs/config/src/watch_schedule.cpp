#include <config/watch_schedule.h>

namespace ej::config {

watch_schedule::watch_schedule(const follower_settings& settings, core::instant started)
    : watch_timeout_(settings.watch_timeout), retry_delay_(settings.retry_delay),
      verify_interval_(settings.verify_interval), due_(started), verify_due_(started)
{
}

watch_change_log watch_schedule::next_watch(core::instant now)
{
    due_ = now + watch_timeout_;
    // The key revision of a store restored to older data may never exceed the one already
    // processed; only an unconditional read detects this.
    if (now < verify_due_) {
        return {++watch_number_, followed_key_};
    }
    verify_due_ = now + verify_interval_;
    return {++watch_number_, core::revision()};
}

void watch_schedule::answered(std::uint64_t watch_number, core::instant now)
{
    if (watch_number == watch_number_) {
        due_ = now;
    }
}

void watch_schedule::failed(std::uint64_t watch_number, core::instant now)
{
    if (watch_number == watch_number_) {
        due_ = now + retry_delay_;
    }
}

void watch_schedule::await_snapshot(core::instant now)
{
    due_ = now + watch_timeout_;
}

void watch_schedule::snapshot_arrived(core::instant now)
{
    due_ = now;
}

void watch_schedule::followed(core::revision key)
{
    followed_key_ = key;
}

} // namespace ej::config
