#pragma once

namespace ej::stand_ins {

/// Which text an engine makes of a prompt.
enum class text_variant {
    usual, ///< The text that every healthy engine makes.
    other  ///< A differing text, as by an engine that breaks determinism.
};

} // namespace ej::stand_ins
