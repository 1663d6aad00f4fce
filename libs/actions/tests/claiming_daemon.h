#pragma once

#include "fleet_model.h"

#include <actions/action_records.h>
#include <actions/arrival_clock.h>
#include <actions/claim_batcher.h>
#include <actions/ticket_issuer.h>

#include <map>

namespace ej::actions::model {

/// Daemon under test: connects the rules to the model's messages and clocks.
class claiming_daemon : public daemon {
public:
    claiming_daemon(fleet_model& fleet, int at);

    void submit(const request& wanted, std::optional<claim_nonce> forwarded,
                const outcome_callback& on_outcome) override;
    std::optional<ticket> issue() override;
    void tick() override;

private:
    struct open_submission {
        request wanted;
        core::instant deadline;
        outcome_callback on_outcome;
        bool forwarded_to_owner = false;
    };

    void apply(const action_id& action, action_event event);
    void perform(const action_id& action, const action_effect& effect);
    void answer(waiter_id waiter, const action_outcome& outcome);
    void connect(const action_id& action, waiter_id source, core::attempt_number attempt);
    void send(const action_id& action, core::attempt_number attempt);
    void forward_submission(waiter_id waiter, const owner& to, claim_nonce nonce);
    void claim_key(const action_id& action, claim_nonce nonce);
    void apply(bucket_number bucket, bucket_writer_event event);
    void perform(bucket_number bucket, const bucket_writer_effect& effect);
    void report(const claim_verdict& verdict);

    fleet_model& fleet_;
    int at_;
    core::instant started_;
    action_records records_;
    claim_batcher claims_;
    ticket_issuer tickets_;
    std::uint64_t last_waiter_ = 0;
    std::map<waiter_id, open_submission> open_;
    std::map<action_id, request> running_;
    std::map<action_id, wall_time> arrived_;
    arrival_clock clock_;
};

/// Limits used by the model: a single bucket, so that all claims share it.
[[nodiscard]] claim_limits model_limits();

} // namespace ej::actions::model
