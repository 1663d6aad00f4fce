#pragma once

namespace ej::actions {

/// How far an action is at one daemon.
enum class action_phase {
    fresh,           ///< Not seen here.
    claiming,        ///< The key is being bound to this incarnation.
    claim_abandoned, ///< The claim was given up; it may have taken effect; never sent.
    connecting,      ///< Owned here, not sent.
    sent,            ///< Bytes may have reached the application.
    ran,             ///< Final.
    refused,         ///< Final: not run.
    unknown,         ///< Final: may have run.
    owned_elsewhere  ///< Final: another incarnation owns the key.
};

inline constexpr std::size_t action_phase_count = 9;

/// True when nothing more will happen in `phase`.
[[nodiscard]] constexpr bool is_final(action_phase phase)
{
    return phase == action_phase::claim_abandoned || phase >= action_phase::ran;
}

} // namespace ej::actions
