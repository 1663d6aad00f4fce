#pragma once

#include <peer/peer_identity.h>

#include <string>

namespace ej::peer {

/// Bytes in a nonce.
inline constexpr int nonce_bytes = 16;

/// A new nonce from the system's random source.
/// Throws std::runtime_error when the source fails.
[[nodiscard]] std::string make_nonce();

/// HMAC-SHA-256 by which `sender` proves that it holds `secret`. `initiator` is part of the input,
/// so that a proof cannot be reflected to the end that made it.
[[nodiscard]] std::string make_proof(const std::string& secret, bool initiator,
                                     const peer_identity& sender, const std::string& own_nonce,
                                     const std::string& remote_nonce);

/// Compares in constant time for proofs of equal length.
[[nodiscard]] bool equal_proofs(const std::string& left, const std::string& right);

} // namespace ej::peer
