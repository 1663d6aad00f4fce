#pragma once

#include "front_context.h"
#include "kept_entries.h"

#include <caller_front/store_layout.h>

#include <suspects/request_digest.h>
#include <suspects/request_evidence.h>

#include <set>

namespace ej::front {

/// An entry for each request that ran at several endpoints as they died. It is written by the
/// daemon that observed the latest death, at once, and by the one that owns the request, which
/// renews and removes it.
class suspect_entries final : public kept_entries {
public:
    /// Both outlive the object.
    suspect_entries(front_context& context, const store_layout& layout)
        : context_(context), layout_(layout)
    {
    }

    /// Notes that this daemon observed a death that counts against `request`.
    void observe(suspects::request_digest request);

    [[nodiscard]] std::string_view name() const override { return "suspects"; }
    [[nodiscard]] std::vector<platform::store_write> due(std::size_t most) override;
    void record(const platform::store_write& made) override;
    [[nodiscard]] bool idle() override;

private:
    [[nodiscard]] bool is_due(const suspects::request_evidence& known);
    [[nodiscard]] bool owns(suspects::request_digest request) const;

    front_context& context_;
    const store_layout& layout_;
    std::set<suspects::request_digest> observed_; // With a death that may not be stored yet.
};

} // namespace ej::front
