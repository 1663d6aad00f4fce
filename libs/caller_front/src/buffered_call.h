#pragma once

#include "byte_share.h"
#include "forwarded_call.h"

#include <string>
#include <string_view>
#include <vector>

namespace ej::front {

/// A call whose answer is buffered and checked before any of it is sent to the caller. A slow
/// idempotent call is hedged: it is also sent to a second endpoint, and the first good answer is
/// used.
class buffered_call final : public forwarded_call {
public:
    using forwarded_call::forwarded_call;

    void on_head(upstream_attempt& attempt) override;
    void on_body(upstream_attempt& attempt, std::string part) override;
    void on_complete(upstream_attempt& attempt) override;
    void on_end(upstream_attempt& attempt, forwarding::attempt_end end,
                const std::string& detail) override;

private:
    struct running {
        attempt_ptr attempt;
        std::string body;
        byte_share memory; // Of the body.
    };

    void send() override;
    void expire(std::string_view reason) override;
    void cancel_attempts() override;
    [[nodiscard]] bool is_running() const override { return !running_.empty(); }
    void continue_after(forwarding::attempt_end end, const upstream_attempt& attempt,
                        std::string body);
    void note_overtaken(core::instant started);
    void arm_hedge_timer();
    void send_hedge();
    [[nodiscard]] core::duration connect_timeout() const;
    std::vector<running>::iterator find(const upstream_attempt& attempt);

    std::vector<running> running_;
    std::shared_ptr<lazy_timer> hedge_timer_;
};

} // namespace ej::front
