#pragma once

#include "front_context.h"
#include "kept_entries.h"

#include <caller_front/store_layout.h>

namespace ej::front {

/// An entry for each held part, kept by the daemon that owns the part.
class held_part_entries final : public kept_entries {
public:
    /// Both outlive the object.
    held_part_entries(front_context& context, const store_layout& layout)
        : context_(context), layout_(layout)
    {
    }

    [[nodiscard]] std::string_view name() const override { return "held_parts"; }
    [[nodiscard]] std::vector<platform::store_write> due(std::size_t most) override;
    void record(const platform::store_write& made) override;
    [[nodiscard]] bool idle() override;

private:
    front_context& context_;
    const store_layout& layout_;
};

} // namespace ej::front
