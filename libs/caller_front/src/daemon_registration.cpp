#include "daemon_registration.h"

#include "daemon_record.h"

#include <logging/log.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <utility>
#include <vector>

namespace ej::front {

namespace {

// Renewals per lease period: two in a row may fail before the lease expires.
constexpr int renewals_per_lease = 3;

} // namespace

daemon_registration::daemon_registration(front_context& context, platform::store& store,
                                         const store_layout& layout, asio::io_context& loop)
    : context_(context), store_(store), layout_(layout), timer_(loop)
{
}

void daemon_registration::renew_now()
{
    renewal_due_ = true;
    timer_.cancel();
}

asio::awaitable<void> daemon_registration::run()
{
    for (;;) {
        renewal_due_ = false;
        absl::Status status;
        if (lease_.empty()) {
            status = co_await register_daemon();
        }
        else {
            status = co_await renew();
        }
        if (!status.ok()) {
            logging::log(logging::level::info, "daemon entry not written or renewed",
                         {{"error", std::string(status.message())}});
        }
        if (!status.ok() && renewal_due_) {
            continue; // The call may have been sent before the store was back.
        }
        timer_.expires_after(context_.settings.lease / renewals_per_lease);
        error_code cancelled; // By `renew_now`.
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

asio::awaitable<absl::Status> daemon_registration::register_daemon()
{
    const auto time_to_live =
        std::chrono::duration_cast<std::chrono::milliseconds>(context_.settings.lease);
    const auto granted = co_await store_.grant_lease(time_to_live);
    if (!granted.ok()) {
        co_return granted.status();
    }
    std::vector<platform::store_write> writes;
    writes.push_back({layout_.daemon_key(context_.settings.vm),
                      to_string({context_.settings.peer_listen, context_.settings.domain}),
                      granted->lease, std::nullopt});
    const auto written = co_await store_.commit(std::move(writes));
    if (written.ok()) {
        lease_ = granted->lease;
    }
    co_return written.status();
}

asio::awaitable<absl::Status> daemon_registration::renew()
{
    platform::lease_id lease = lease_;
    auto status = co_await store_.renew_lease(std::move(lease));
    if (status.code() == absl::StatusCode::kNotFound) {
        lease_ = {};
        status = co_await register_daemon();
    }
    co_return status;
}

} // namespace ej::front
