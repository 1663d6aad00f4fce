#pragma once

namespace ej::stand_ins {

/// Which text an engine generates for a prompt.
enum class text_variant {
    usual, ///< The text that every healthy engine generates.
    other  ///< A different text, to simulate an engine that is not deterministic.
};

} // namespace ej::stand_ins
