#pragma once

#include "fleet_model.h"

namespace ej::actions::model {

/// Looks the key up in a shared set, then sends the request, and resends it if it gets no answer.
class naive_daemon : public daemon {
public:
    naive_daemon(fleet_model& fleet, int at) : fleet_(fleet), at_(at) {}

    void submit(const request& wanted, std::optional<claim_nonce> forwarded,
                const outcome_callback& on_outcome) override;

private:
    void send(const request& wanted, const outcome_callback& on_outcome, int tries);

    fleet_model& fleet_;
    int at_;
};

} // namespace ej::actions::model
