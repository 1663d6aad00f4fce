#pragma once

namespace ej::actions {

/// Phase of an action at one daemon.
enum class action_phase {
    fresh,           ///< No record at this daemon.
    claiming,        ///< The key is being bound to this incarnation.
    claim_abandoned, ///< The claim was given up but may have taken effect; never sent.
    connecting,      ///< Owned by this daemon; not sent yet.
    sent,            ///< Bytes may have reached the application.
    ran,             ///< Final.
    refused,         ///< Final: not run.
    unknown,         ///< Final: may have run.
    owned_elsewhere  ///< Final: another incarnation owns the key.
};

inline constexpr std::size_t action_phase_count = 9;

/// True if the action has no work in progress in `phase`.
[[nodiscard]] constexpr bool is_final(action_phase phase)
{
    return phase == action_phase::claim_abandoned || phase >= action_phase::ran;
}

} // namespace ej::actions
